import type { PlacementPermit } from '@toucanline/schema';

/** Service that decides on which workers a step may run. It serves one call at a time for each calling host. */
export abstract class PlacementAdvisor {
  /**
   * Requests placement permits.
   *
   * @param stepKey - job, occurrence and step, joined by dots
   * @param workerIds - ids of the candidate workers
   * @returns permits for the workers that may run the step; undefined if there was no response
   */
  public abstract requestPermits(
    stepKey: string,
    workerIds: readonly string[],
  ): Promise<readonly PlacementPermit[] | undefined>;
}
