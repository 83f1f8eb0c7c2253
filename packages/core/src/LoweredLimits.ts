import type { Resources } from '@toucanline/schema';
import { coversResources } from './coversResources.js';
import type { LoweredLimit } from './LoweredLimit.js';
import { subtractResources } from './subtractResources.js';

/** Reduction target of a team, with the limit for which it was calculated. */
interface Reduction extends LoweredLimit {
  readonly limit: Resources;
  readonly calculatedAt: number;
  /** Number of times that the target was recalculated for the same limit. */
  readonly recalculations: number;
}

const scaleToLimit = (own: number, limit: number, sum: number): number =>
  sum > limit ? (own * limit) / sum : own;

/**
 * Calculates the amount to which this shard reduces a team, once per lowered limit. A target that followed
 * each change of the record would make the shards that react first reduce more than their part.
 */
export class LoweredLimits {
  readonly #reductions = new Map<string, Reduction>();

  /** Unfinished reductions, per team. */
  public get active(): ReadonlyMap<string, LoweredLimit> {
    return this.#reductions;
  }

  /**
   * Calculates the amount to which a team must reduce its use in this shard.
   *
   * @param team - name of the team
   * @param limit - limit of the team
   * @param sum - sum of its allotments over all shards
   * @param own - allotment of this shard
   * @param now - monotonic time in milliseconds
   * @param recalculationMs - age at which a target is recalculated, because another shard cannot reduce, in
   * milliseconds
   * @returns the amount to reduce to; the allotment itself unless the limit is exceeded
   */
  public calculateTarget(
    team: string,
    limit: Resources,
    sum: Resources,
    own: Resources,
    now: number,
    recalculationMs: number,
  ): Resources {
    if (coversResources(limit, sum)) {
      this.#reductions.delete(team);
      return own;
    }
    const known = this.#reductions.get(team);
    const isSame =
      known !== undefined &&
      coversResources(known.limit, limit) &&
      coversResources(limit, known.limit);
    if (isSame && now - known.calculatedAt < recalculationMs) return known.target;
    const recalculations = isSame ? known.recalculations + 1 : 0;
    // Proportional reductions leave the work that other shards cannot stop. After them, each shard that can
    // stop work reduces by the whole remaining excess.
    const target =
      recalculations > 1
        ? subtractResources(own, subtractResources(sum, limit))
        : {
            processors: scaleToLimit(own.processors, limit.processors, sum.processors),
            memoryMb: scaleToLimit(own.memoryMb, limit.memoryMb, sum.memoryMb),
            accelerators: scaleToLimit(own.accelerators, limit.accelerators, sum.accelerators),
          };
    const exceededSince = isSame ? known.exceededSince : now;
    this.#reductions.set(team, {
      limit,
      target,
      exceededSince,
      calculatedAt: now,
      recalculations,
    });
    return target;
  }

  /**
   * Ends the reduction of a team.
   *
   * @param team - name of the team
   */
  public delete(team: string): void {
    this.#reductions.delete(team);
  }
}
