import type { Renewal, Report, TaskCommand, TaskStart } from '@toucanline/schema';
import type { WorkerResponse } from './WorkerResponse.js';

/** Access to the workers. An implementation is the only place that knows their protocol. */
export abstract class WorkerGateway {
  /** Whether workers reject commands with an epoch lower than the highest they have accepted. */
  public abstract readonly hasFencing: boolean;

  /**
   * Starts a task.
   *
   * @param address - address of the worker
   * @param start - the command
   * @returns nothing once the worker accepted the task
   */
  public abstract startTask(address: string, start: TaskStart): Promise<WorkerResponse<void>>;

  /**
   * Stops, checkpoints or throttles a task. The effect shows in a later report.
   *
   * @param address - address of the worker
   * @param command - the command
   * @returns nothing once the worker accepted the command
   */
  public abstract sendCommand(address: string, command: TaskCommand): Promise<WorkerResponse<void>>;

  /**
   * Renews the worker's lease and waits for its report.
   *
   * @param address - address of the worker
   * @param renewal - the command
   * @returns the report
   */
  public abstract renewLease(address: string, renewal: Renewal): Promise<WorkerResponse<Report>>;

  /**
   * Ends the renewal that a worker holds open, because a report is needed now. The renewal fails.
   *
   * @param address - address of the worker
   */
  public abstract interruptRenewal(address: string): void;
}
