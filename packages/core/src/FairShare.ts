import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { calculateDominantShare } from './calculateDominantShare.js';
import { scaleResources } from './scaleResources.js';
import { zeroResources } from './zeroResources.js';

const defaultHalfLifeMs = 30_000;
/**
 * Weight of the decayed average relative to the current use. Shards see each other's use with a delay, so
 * several may start too much work of a small team at the same time; a high weight compensates for that.
 */
const averageWeight = 8;
/** Averages below this share of the fleet are dropped. */
const negligibleShare = 1e-9;

/**
 * Weighted dominant resource fairness over all shards: the team that is furthest below its share comes
 * first. The rank adds an exponentially decayed average of the use to the current use. The average alone
 * would give all free capacity to one team until the next update; the current use alone would never
 * compensate a team for a period below its share.
 */
export class FairShare {
  readonly #averageUse = new Map<string, Resources>();
  #weights: ReadonlyMap<string, number> = new Map();
  #halfLifeMs = defaultHalfLifeMs;
  #capacity: Resources = zeroResources;
  #remoteUse: ReadonlyMap<string, Resources> = new Map();
  #advancedAt: number | undefined;

  /**
   * Sets the weight of each team.
   *
   * @param weights - configured share per team
   * @param halfLifeMs - half-life of the decayed average, in milliseconds
   */
  public setWeights(weights: ReadonlyMap<string, number>, halfLifeMs = defaultHalfLifeMs): void {
    this.#weights = weights;
    this.#halfLifeMs = halfLifeMs;
  }

  /**
   * Sets the capacity and use that other shards reported.
   *
   * @param capacity - total capacity of the fleet, including this shard
   * @param remoteUse - use per team, summed over all other shards
   */
  public setFleetLoad(capacity: Resources, remoteUse: ReadonlyMap<string, Resources>): void {
    this.#capacity = capacity;
    this.#remoteUse = remoteUse;
  }

  /**
   * Advances the decayed averages to the current time.
   *
   * @param now - monotonic time in milliseconds
   * @param localUse - use per team in this shard since the last call
   */
  public advance(now: number, localUse: ReadonlyMap<string, Resources>): void {
    const elapsedMs = now - (this.#advancedAt ?? now);
    this.#advancedAt = now;
    const retainedFraction = 2 ** (-elapsedMs / this.#halfLifeMs);
    const teams = new Set([
      ...this.#averageUse.keys(),
      ...localUse.keys(),
      ...this.#remoteUse.keys(),
    ]);
    for (const team of teams) {
      const past = scaleResources(this.#averageUse.get(team) ?? zeroResources, retainedFraction);
      const total = this.#sumUse(team, localUse.get(team) ?? zeroResources);
      const average = addResources(past, scaleResources(total, 1 - retainedFraction));
      if (calculateDominantShare(average, this.#capacity) < negligibleShare) {
        this.#averageUse.delete(team);
      } else this.#averageUse.set(team, average);
    }
  }

  /**
   * Calculates the rank of a team.
   *
   * @param team - name of the team
   * @param use - current use of the team in this shard
   * @returns weighted sum of the current and the average dominant share; the team with the lowest rank comes first
   */
  public rankTeam(team: string, use: Resources): number {
    const currentShare = calculateDominantShare(this.#sumUse(team, use), this.#capacity);
    const past = this.#averageUse.get(team) ?? zeroResources;
    const averageShare = calculateDominantShare(past, this.#capacity);
    return (currentShare + averageWeight * averageShare) / (this.#weights.get(team) ?? 1);
  }

  #sumUse(team: string, use: Resources): Resources {
    return addResources(use, this.#remoteUse.get(team) ?? zeroResources);
  }
}
