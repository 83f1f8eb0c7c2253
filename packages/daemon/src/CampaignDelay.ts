import { hostLimits } from './hostLimits.js';

/** Ratio of fitness from which a host is worth a hand-over of the leadership. */
const handoverRatio = 1.5;

/** Delays the campaigns of hosts that can carry the leader less well than the fittest host of the site. */
export class CampaignDelay {
  /** How well this host can carry the leader. */
  public readonly fitness: number;
  #bestFitness = 0;
  #heldUntil = 0;

  /** @param fitness - how well this host can carry the leader */
  public constructor(fitness: number) {
    this.fitness = fitness;
  }

  /** Whether this host is fitter than every host that the store knows. */
  public get isBest(): boolean {
    return this.fitness > this.#bestFitness;
  }

  /**
   * Records the greatest fitness of any host of the site.
   *
   * @param fitness - fitness as read from the store; invalid values are ignored
   */
  public recordBest(fitness: number): void {
    if (Number.isFinite(fitness) && fitness > this.#bestFitness) this.#bestFitness = fitness;
  }

  /**
   * Holds back this host after it has given up the leadership for another one.
   *
   * @param now - monotonic time in milliseconds
   */
  public holdBack(now: number): void {
    this.#heldUntil = now + hostLimits.resignationPauseMs;
  }

  /**
   * Checks whether another host is so much fitter that the leadership should move there.
   *
   * @param peerFitness - fitness that the other host announced
   * @returns true if a hand-over is worth its cost
   */
  public isOutranked(peerFitness: number): boolean {
    return peerFitness >= this.fitness * handoverRatio;
  }

  /**
   * Computes how long this host waits before it campaigns.
   *
   * @param now - monotonic time in milliseconds
   * @param random - random number from 0 to 1, which spreads equally fit hosts
   * @returns delay in milliseconds
   */
  public computeMs(now: number, random: number): number {
    const lag = this.#bestFitness > 0 ? Math.max(0, 1 - this.fitness / this.#bestFitness) : 0;
    const delayMs = lag * hostLimits.maxUnfitDelayMs + random * hostLimits.campaignJitterMs;
    return Math.max(delayMs, this.#heldUntil - now);
  }
}
