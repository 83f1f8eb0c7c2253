import type { PlacementPermit } from '@toucanline/schema';

/** Service that knows on which workers a step may run. It serves each calling host one call at a time. */
export abstract class PlacementAdvisor {
  /**
   * Asks for permits.
   *
   * @param stepKey - job, occurrence and step
   * @param workerIds - candidates
   * @returns permits of the workers that may run the step; undefined without an answer
   */
  public abstract requestPermits(
    stepKey: string,
    workerIds: readonly string[],
  ): Promise<readonly PlacementPermit[] | undefined>;
}
