import type { Arrival } from './Arrival.js';

/** A scheduler with the simulated workers of one site. */
export abstract class SchedulerModel {
  /** Name in the output. */
  public abstract get name(): string;

  /**
   * Hands a request in.
   *
   * @param arrival - the request and where it arrives
   */
  public abstract submit(arrival: Arrival): void;

  /**
   * Ends the tasks that are due and starts what the scheduler starts.
   *
   * @param nowMs - time of the simulation
   */
  public abstract step(nowMs: number): void;
}
