import type { JobProgress } from '@toucanline/schema';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Progress to write, and the run ends that may be acknowledged to the workers once it is written. */
interface ProgressBatch {
  readonly progress: readonly JobProgress[];
  readonly processedEnds: readonly { readonly worker: Worker; readonly through: number }[];
}

/**
 * Progress that must be written to the store before run ends are acknowledged to the workers and published to
 * callers.
 */
export class PendingProgress {
  readonly #jobs: JobRegistry;
  readonly #pool: WorkerPool;
  readonly #unwritten = new Set<Job>();

  /**
   * @param jobs - known jobs
   * @param pool - known workers
   */
  public constructor(jobs: JobRegistry, pool: WorkerPool) {
    this.#jobs = jobs;
    this.#pool = pool;
  }

  /** Whether any progress is unwritten. */
  public get hasPending(): boolean {
    return (
      this.#unwritten.size > 0 ||
      this.#pool.all.some((worker) => worker.processedThrough > worker.acknowledgedThrough)
    );
  }

  /**
   * Adds a job whose progress must be written.
   *
   * @param job - job whose progress has changed
   */
  public add(job: Job): void {
    this.#unwritten.add(job);
  }

  /**
   * Takes all unwritten progress.
   *
   * @returns progress to write, and the run ends that may be acknowledged after the write
   */
  public takeBatch(): ProgressBatch {
    const progress = [...this.#unwritten].map((job) => job.describeProgress());
    this.#unwritten.clear();
    const processedEnds = this.#pool.all.map((worker) => ({
      worker,
      through: worker.processedThrough,
    }));
    return { progress, processedEnds };
  }

  /**
   * Records that a batch was written: acknowledges its run ends and publishes final states.
   *
   * @param batch - batch that was written
   */
  public confirmBatch(batch: ProgressBatch): void {
    for (const { id, state, finishedAtMs } of batch.progress) {
      const job = this.#jobs.find(id);
      if (job !== undefined && finishedAtMs !== undefined) job.publishState(state);
    }
    for (const { worker, through } of batch.processedEnds) worker.acknowledge(through);
  }

  /**
   * Requeues the progress of a batch that could not be written.
   *
   * @param batch - batch that was not written
   */
  public requeueBatch(batch: ProgressBatch): void {
    for (const { id } of batch.progress) {
      const job = this.#jobs.find(id);
      if (job !== undefined) this.#unwritten.add(job);
    }
  }
}
