import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { calculateDominantShare } from './calculateDominantShare.js';
import { scaleResources } from './scaleResources.js';
import { zeroResources } from './zeroResources.js';

const defaultHalfLifeMs = 30_000;
/**
 * Weight of the window against the current use. Shards see each other's use late and then start too
 * much of a small team at the same time; a heavy window makes up for that.
 */
const windowWeight = 8;
/** Use below this share of the fleet is forgotten. */
const negligibleShare = 1e-9;

/**
 * Weighted dominant resource fairness over all shards: the team that is furthest below its share comes
 * first. The rank adds the use over a decayed window to the current use. The window alone would give
 * all free capacity to one team until the next update; the current use alone would never make up for
 * a time below the share.
 */
export class FairShare {
  readonly #averageUse = new Map<string, Resources>();
  #weights: ReadonlyMap<string, number> = new Map();
  #halfLifeMs = defaultHalfLifeMs;
  #capacity: Resources = zeroResources;
  #remoteUse: ReadonlyMap<string, Resources> = new Map();
  #advancedAt: number | undefined;

  /**
   * Sets the share of each team.
   *
   * @param weights - share per team
   * @param halfLifeMs - half-life of the window, in milliseconds
   */
  public setWeights(weights: ReadonlyMap<string, number>, halfLifeMs = defaultHalfLifeMs): void {
    this.#weights = weights;
    this.#halfLifeMs = halfLifeMs;
  }

  /**
   * Sets what other shards reported.
   *
   * @param capacity - capacity of the whole fleet, this shard included
   * @param remoteUse - use per team in other shards
   */
  public setFleetLoad(capacity: Resources, remoteUse: ReadonlyMap<string, Resources>): void {
    this.#capacity = capacity;
    this.#remoteUse = remoteUse;
  }

  /**
   * Moves the window on.
   *
   * @param now - local monotonic time in milliseconds
   * @param localUse - use per team in this shard since the last call
   */
  public advance(now: number, localUse: ReadonlyMap<string, Resources>): void {
    const elapsedMs = now - (this.#advancedAt ?? now);
    this.#advancedAt = now;
    const kept = 2 ** (-elapsedMs / this.#halfLifeMs);
    const teams = new Set([
      ...this.#averageUse.keys(),
      ...localUse.keys(),
      ...this.#remoteUse.keys(),
    ]);
    for (const team of teams) {
      const past = scaleResources(this.#averageUse.get(team) ?? zeroResources, kept);
      const total = this.#sumUse(team, localUse.get(team) ?? zeroResources);
      const average = addResources(past, scaleResources(total, 1 - kept));
      if (calculateDominantShare(average, this.#capacity) < negligibleShare) {
        this.#averageUse.delete(team);
      } else this.#averageUse.set(team, average);
    }
  }

  /**
   * Ranks a team.
   *
   * @param team - name of the team
   * @param use - use of the team in this shard
   * @returns its weighted dominant share; the lowest one comes first
   */
  public rankTeam(team: string, use: Resources): number {
    const current = calculateDominantShare(this.#sumUse(team, use), this.#capacity);
    const past = this.#averageUse.get(team) ?? zeroResources;
    const window = calculateDominantShare(past, this.#capacity);
    return (current + windowWeight * window) / (this.#weights.get(team) ?? 1);
  }

  #sumUse(team: string, use: Resources): Resources {
    return addResources(use, this.#remoteUse.get(team) ?? zeroResources);
  }
}
