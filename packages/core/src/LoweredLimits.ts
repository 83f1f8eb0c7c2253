import type { Resources } from '@toucanline/schema';
import { coversResources } from './coversResources.js';
import type { LoweredLimit } from './LoweredLimit.js';
import { subtractResources } from './subtractResources.js';

/** An exceeded limit with what it was when the target was calculated. */
interface Reduction extends LoweredLimit {
  readonly limit: Resources;
  readonly calculatedAt: number;
  /** How often the target was calculated again. */
  readonly recalculations: number;
}

const scaleToLimit = (own: number, limit: number, sum: number): number =>
  sum > limit ? (own * limit) / sum : own;

/**
 * Calculates once per lowered limit what this shard shrinks to. A target that followed each change of
 * the record would make the shards that react first shrink further than their part.
 */
export class LoweredLimits {
  readonly #reductions = new Map<string, Reduction>();

  /** Reductions that are not done yet, per team. */
  public get active(): ReadonlyMap<string, LoweredLimit> {
    return this.#reductions;
  }

  /**
   * Calculates what a team shrinks to in this shard.
   *
   * @param team - name of the team
   * @param limit - limit of the team
   * @param sum - sum of its allotments over all shards
   * @param own - allotment of this shard
   * @param now - local monotonic time in milliseconds
   * @param renewMs - age at which a target is calculated again, because another shard cannot shrink
   * @returns the amount to shrink to; the allotment itself unless the limit is exceeded
   */
  public calculateTarget(
    team: string,
    limit: Resources,
    sum: Resources,
    own: Resources,
    now: number,
    renewMs: number,
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
    if (isSame && now - known.calculatedAt < renewMs) return known.target;
    const renewals = isSame ? known.recalculations + 1 : 0;
    // What other shards cannot stop is left over after the proportional steps; then each shard that
    // can stop work makes room for all of it.
    const target =
      renewals > 1
        ? subtractResources(own, subtractResources(sum, limit))
        : {
            processors: scaleToLimit(own.processors, limit.processors, sum.processors),
            memoryMb: scaleToLimit(own.memoryMb, limit.memoryMb, sum.memoryMb),
            accelerators: scaleToLimit(own.accelerators, limit.accelerators, sum.accelerators),
          };
    const since = isSame ? known.exceededSince : now;
    this.#reductions.set(team, {
      limit,
      target,
      exceededSince: since,
      calculatedAt: now,
      recalculations: renewals,
    });
    return target;
  }

  /**
   * Forgets a team.
   *
   * @param team - name of the team
   */
  public delete(team: string): void {
    this.#reductions.delete(team);
  }
}
