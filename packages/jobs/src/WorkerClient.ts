import type { RunStart, WorkerEntry, WorkerReport } from '@toucanline/schema';
import type { StartOutcome } from './StartOutcome.js';

/** Reason why a worker returned no report. */
type ReportFailure = 'fenced' | 'otherLife' | 'refused' | 'unknown';

/**
 * Sends commands to workers. A command names a worker by its id, so that any incarnation executes it; the fencing token
 * tells them apart.
 */
export abstract class WorkerClient {
  /**
   * Starts a run of a task.
   *
   * @param worker - entry of the worker
   * @param start - run to start
   * @returns outcome, and the worker's clock in milliseconds; undefined if the worker did not respond
   */
  public abstract start(
    worker: WorkerEntry,
    start: RunStart,
  ): Promise<{ readonly outcome: StartOutcome; readonly clockMs: number | undefined }>;

  /**
   * Stops a run, or prevents it from starting if it has not.
   *
   * @param worker - entry of the worker
   * @param task - name of the task
   * @param run - number of the run
   * @param fencingToken - fencing token
   * @returns `confirmed`, or the reason why the worker did not confirm the stop
   */
  public abstract stop(
    worker: WorkerEntry,
    task: string,
    run: number,
    fencingToken: number,
  ): Promise<'confirmed' | ReportFailure>;

  /**
   * Extends the leases on a worker and reads its running tasks and ended runs.
   *
   * @param worker - entry of the worker
   * @param fencingToken - fencing token
   * @param acknowledgedThrough - number of the last run end that the worker may discard
   * @param leaseUntilMs - new expiry of the leases on the worker's clock, in milliseconds; undefined leaves it
   * unchanged
   * @param waitMs - longest time that the worker waits for a run to end before it responds, in milliseconds
   * @returns the report, or the reason why there is none
   */
  public abstract requestReport(
    worker: WorkerEntry,
    fencingToken: number,
    acknowledgedThrough: number,
    leaseUntilMs: number | undefined,
    waitMs: number,
  ): Promise<WorkerReport | ReportFailure>;

  /**
   * Releases the connections and other resources of an address that is no longer used.
   *
   * @param address - IP address and port of a worker
   */
  public abstract releaseAddress(address: string): void;
}
