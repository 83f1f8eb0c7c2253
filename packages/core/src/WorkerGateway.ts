import type { Renewal, Report, TaskCommand, TaskStart } from '@toucanline/schema';
import type { WorkerResponse } from './WorkerResponse.js';

/** Access to the workers. Only the implementations know the protocol of the workers. */
export abstract class WorkerGateway {
  /**
   * Whether workers use the epoch as a fencing token: they reject commands with an epoch below the highest one that
   * they have accepted.
   */
  public abstract readonly hasFencing: boolean;

  /**
   * Starts a task.
   *
   * @param address - address of the worker
   * @param start - the start command
   * @returns nothing once the worker has accepted the task
   */
  public abstract startTask(address: string, start: TaskStart): Promise<WorkerResponse<void>>;

  /**
   * Sends a command to stop, checkpoint or throttle a task. A later report shows its effect.
   *
   * @param address - address of the worker
   * @param command - the command
   * @returns nothing once the worker has accepted the command
   */
  public abstract sendCommand(address: string, command: TaskCommand): Promise<WorkerResponse<void>>;

  /**
   * Renews the worker's lease and waits for its report.
   *
   * @param address - address of the worker
   * @param renewal - the renewal
   * @returns the report, once the worker has made one
   */
  public abstract renewLease(address: string, renewal: Renewal): Promise<WorkerResponse<Report>>;

  /**
   * Aborts the renewal that a worker holds open, because a report is needed now. The aborted renewal fails.
   *
   * @param address - address of the worker
   */
  public abstract interruptRenewal(address: string): void;
}
