import type { JobProgress } from '@toucanline/schema';
import type { Job } from './Job.js';
import type { JobBook } from './JobBook.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

/** Progress to write, and marks of ends that may be acknowledged once it is written. */
interface ProgressBatch {
  readonly progress: readonly JobProgress[];
  readonly seen: readonly { readonly worker: Worker; readonly through: number }[];
}

/** Progress that must be written before ends are acknowledged to the workers and shown to callers. */
export class ProgressLedger {
  readonly #book: JobBook;
  readonly #pool: WorkerPool;
  readonly #unwritten = new Set<Job>();

  /**
   * @param book - the jobs
   * @param pool - the workers
   */
  public constructor(book: JobBook, pool: WorkerPool) {
    this.#book = book;
    this.#pool = pool;
  }

  /** Whether progress waits to be written. */
  public get isPending(): boolean {
    return (
      this.#unwritten.size > 0 ||
      this.#pool.all.some((worker) => worker.seenThrough > worker.acknowledgedThrough)
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
  public take(): ProgressBatch {
    const progress = [...this.#unwritten].map((job) => job.describeProgress());
    this.#unwritten.clear();
    const seen = this.#pool.all.map((worker) => ({ worker, through: worker.seenThrough }));
    return { progress, seen };
  }

  /**
   * Notes that progress was written.
   *
   * @param batch - the progress
   */
  public confirm(batch: ProgressBatch): void {
    for (const { id, state, finishedAtMs } of batch.progress) {
      const job = this.#book.find(id);
      if (job !== undefined && finishedAtMs !== undefined) job.show(state);
    }
    for (const { worker, through } of batch.seen) worker.acknowledge(through);
  }

  /**
   * Takes progress back that could not be written.
   *
   * @param batch - the progress
   */
  public putBack(batch: ProgressBatch): void {
    for (const { id } of batch.progress) {
      const job = this.#book.find(id);
      if (job !== undefined) this.#unwritten.add(job);
    }
  }
}
