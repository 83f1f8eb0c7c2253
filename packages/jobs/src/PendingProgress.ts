import type { JobProgress } from '@toucanline/schema';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Progress to write, and marks of ends that may be acknowledged once it is written. */
interface ProgressBatch {
  readonly progress: readonly JobProgress[];
  readonly processedEnds: readonly { readonly worker: Worker; readonly through: number }[];
}

/** Progress that must be written before ends are acknowledged to the workers and shown to callers. */
export class PendingProgress {
  readonly #jobs: JobRegistry;
  readonly #pool: WorkerPool;
  readonly #unwritten = new Set<Job>();

  /**
   * @param book - the jobs
   * @param pool - the workers
   */
  public constructor(book: JobRegistry, pool: WorkerPool) {
    this.#jobs = book;
    this.#pool = pool;
  }

  /** Whether progress waits to be written. */
  public get hasPending(): boolean {
    return (
      this.#unwritten.size > 0 ||
      this.#pool.all.some((worker) => worker.processedThrough > worker.acknowledgedThrough)
    );
  }

  /** @param job - job whose progress has changed */
  public add(job: Job): void {
    this.#unwritten.add(job);
  }

  /**
   * Hands out the progress that is to be written.
   *
   * @returns progress, and the ends that may be acknowledged after it was written
   */
  public takeBatch(): ProgressBatch {
    const progress = [...this.#unwritten].map((job) => job.describeProgress());
    this.#unwritten.clear();
    const seen = this.#pool.all.map((worker) => ({ worker, through: worker.processedThrough }));
    return { progress, processedEnds: seen };
  }

  /**
   * Notes that progress was written.
   *
   * @param batch - the progress
   */
  public confirmBatch(batch: ProgressBatch): void {
    for (const { id, state, finishedAtMs } of batch.progress) {
      const job = this.#jobs.find(id);
      if (job !== undefined && finishedAtMs !== undefined) job.publishState(state);
    }
    for (const { worker, through } of batch.processedEnds) worker.acknowledge(through);
  }

  /**
   * Takes progress back that could not be written.
   *
   * @param batch - the progress
   */
  public requeueBatch(batch: ProgressBatch): void {
    for (const { id } of batch.progress) {
      const job = this.#jobs.find(id);
      if (job !== undefined) this.#unwritten.add(job);
    }
  }
}
