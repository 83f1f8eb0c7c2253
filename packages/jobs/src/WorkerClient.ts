import type { RunStart, WorkerEntry, WorkerReport } from '@toucanline/schema';
import type { StartOutcome } from './StartOutcome.js';

/** Why a worker gave no report. */
type ReportFailure = 'fenced' | 'otherLife' | 'refused' | 'unknown';

/** Orders to workers. Each names the incarnation that it is meant for. */
export abstract class WorkerClient {
  /**
   * Starts a task.
   *
   * @param worker - the worker
   * @param start - what to start
   * @returns the outcome, and the worker's clock if it answered
   */
  public abstract start(
    worker: WorkerEntry,
    start: RunStart,
  ): Promise<{ readonly outcome: StartOutcome; readonly clockMs: number | undefined }>;

  /**
   * Stops a run, or keeps it from starting.
   *
   * @param worker - the worker
   * @param task - name of the task
   * @param run - number of the run
   * @param term - fencing token
   * @returns whether the worker confirmed it
   */
  public abstract stop(
    worker: WorkerEntry,
    task: string,
    run: number,
    term: number,
  ): Promise<'confirmed' | ReportFailure>;

  /**
   * Extends the leases on a worker and reads what it runs.
   *
   * @param worker - the worker
   * @param term - fencing token
   * @param acknowledgedThrough - number of the last end that the worker may forget
   * @param leaseUntilMs - new end of the leases on the worker's clock; undefined leaves them
   * @param waitMs - longest wait for an end, in milliseconds
   * @returns the report
   */
  public abstract requestReport(
    worker: WorkerEntry,
    term: number,
    acknowledgedThrough: number,
    leaseUntilMs: number | undefined,
    waitMs: number,
  ): Promise<WorkerReport | ReportFailure>;

  /**
   * Releases what is kept for an address that is no longer used.
   *
   * @param address - IP and port
   */
  public abstract releaseAddress(address: string): void;
}
