import type { JobProgress } from '@toucanline/schema';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Progress to write, and the run ends that may be acknowledged to the workers once it is written. */
interface ProgressBatch {
  readonly progress: readonly JobProgress[];
  /** Empty if progress is left over: then some ends are not written yet. */
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

  /** Number of jobs whose progress is unwritten. */
  public get unwrittenCount(): number {
    return this.#unwritten.size;
  }

  /**
   * Takes unwritten progress. Finished jobs come first, since callers wait for them.
   *
   * @param maxJobs - maximum number of jobs
   * @returns progress to write, and the run ends that may be acknowledged after the write
   */
  public takeBatch(maxJobs = Infinity): ProgressBatch {
    const jobs = [...this.#unwritten]
      .sort((a, b) => Number(b.isFinished) - Number(a.isFinished))
      .slice(0, maxJobs);
    for (const job of jobs) this.#unwritten.delete(job);
    const progress = jobs.map((job) => job.describeProgress());
    if (this.#unwritten.size > 0) return { progress, processedEnds: [] };
    const processedEnds = this.#pool.all.map((worker) => ({
      worker,
      through: worker.processedThrough,
    }));
    return { progress, processedEnds };
  }

  /**
   * Publishes the final states of jobs whose progress was written.
   *
   * @param progress - written progress
   */
  public publish(progress: readonly JobProgress[]): void {
    for (const { id, state, finishedAtMs } of progress) {
      if (finishedAtMs !== undefined) this.#jobs.find(id)?.publishState(state);
    }
  }

  /**
   * Records that a batch was written: publishes final states and acknowledges its run ends.
   *
   * @param batch - batch that was written
   */
  public confirmBatch(batch: ProgressBatch): void {
    this.publish(batch.progress);
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
