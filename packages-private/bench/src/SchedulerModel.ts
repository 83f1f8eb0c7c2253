import type { Arrival } from './Arrival.js';

/** Scheduler under simulation, with the simulated workers of one site. */
export abstract class SchedulerModel {
  /** Name of the scheduler in the output. */
  public abstract get name(): string;

  /**
   * Submits a request.
   *
   * @param arrival - the request and where it arrives
   */
  public abstract submit(arrival: Arrival): void;

  /**
   * Ends the tasks whose run time is over and starts the tasks that the scheduler places.
   *
   * @param nowMs - simulated time in milliseconds
   */
  public abstract step(nowMs: number): void;
}
