import type { Resources } from '@toucanline/schema';
import { calculateDominantShare } from './calculateDominantShare.js';
import { zeroResources } from './zeroResources.js';

/** Weighted dominant resource fairness: the team that is furthest below its share comes first. */
export class FairShare {
  #weights: ReadonlyMap<string, number> = new Map();
  #capacity: Resources = zeroResources;
  #remoteUse: ReadonlyMap<string, Resources> = new Map();

  /**
   * Sets the share of each team.
   *
   * @param weights - share per team
   */
  public setWeights(weights: ReadonlyMap<string, number>): void {
    this.#weights = weights;
  }

  /**
   * Sets what other shards reported.
   *
   * @param capacity - capacity of the whole fleet, this shard included
   * @param remoteUse - use per team in other shards
   */
  public setFleet(capacity: Resources, remoteUse: ReadonlyMap<string, Resources>): void {
    this.#capacity = capacity;
    this.#remoteUse = remoteUse;
  }

  /**
   * Ranks a team.
   *
   * @param team - name of the team
   * @param use - use of the team in this shard
   * @returns its weighted dominant share; the lowest one comes first
   */
  public rankTeam(team: string, use: Resources): number {
    const remote = this.#remoteUse.get(team) ?? zeroResources;
    const total = {
      processors: use.processors + remote.processors,
      memoryMb: use.memoryMb + remote.memoryMb,
      accelerators: use.accelerators + remote.accelerators,
    };
    return calculateDominantShare(total, this.#capacity) / (this.#weights.get(team) ?? 1);
  }
}
