import type { Room } from '@toucanline/schema';
import { resources } from '../resources.js';
import { allowanceLimits } from './allowanceLimits.js';
import { combineRooms } from './combineRooms.js';
import { isWithinLimit } from './isWithinLimit.js';

/**
 * Allowance of one account with a cap: the amount that the leader may have running. A lower value binds from the moment
 * at which its write begins, a higher one only once its write is confirmed.
 */
export class AccountAllowance {
  /** Lowest of the values that may be stored: that of the last confirmed write and those of all later attempts. */
  #limit: Room = resources.none;
  /** Wanted value as of the last confirmed write; undefined while the effect of a later one is unknown. */
  #storedTarget: Room | undefined;
  /** Wanted value as of the last write that began. */
  #writtenTarget: Room = resources.none;
  #target: Room = resources.none;
  /** Largest level that was needed since the target was last lowered. */
  #peak: Room = resources.none;
  #peakSince = -Infinity;
  #shortSince: number | undefined;

  /** Amount that the leader may have running. */
  public get limit(): Room {
    return this.#limit;
  }

  /** Monotonic time in milliseconds since which starts wait for a higher allowance; undefined if none wait. */
  public get shortSince(): number | undefined {
    return this.#shortSince;
  }

  /** Whether the wanted value was ever adapted to the demand. */
  public get hasTarget(): boolean {
    return this.#peakSince !== -Infinity;
  }

  /** Whether the store may hold another value than the one that is wanted. */
  public get isWriteNeeded(): boolean {
    const { milliProcessors, memoryMb, accelerators } = this.#target;
    return (
      this.#storedTarget?.milliProcessors !== milliProcessors ||
      this.#storedTarget.memoryMb !== memoryMb ||
      this.#storedTarget.accelerators !== accelerators
    );
  }

  /**
   * Adopts the allowance that the previous leader stored.
   *
   * @param stored - stored allowance
   */
  public restore(stored: Room): void {
    this.#limit = stored;
    this.#storedTarget = stored;
  }

  /**
   * Adapts the wanted value to the demand: raises it at once, and lowers it to the largest value needed within the hold
   * time.
   *
   * @param needed - amount that is or may be running, and the waiting demand
   * @param cap - cap of the account
   * @param now - monotonic time in milliseconds
   */
  public update(needed: Room, cap: Room, now: number): void {
    const level = combineRooms(needed, cap, computeLevel);
    this.#peak = combineRooms(this.#peak, level, Math.max);
    if (now - this.#peakSince >= allowanceLimits.holdMs) {
      this.#target = this.#peak;
      this.#peak = level;
      this.#peakSince = now;
    }
    const raised = combineRooms(this.#target, level, Math.max);
    this.#target = combineRooms(raised, cap, Math.min);
    const startable = combineRooms(needed, cap, Math.min);
    if (isWithinLimit(startable, this.#limit, cap)) this.#shortSince = undefined;
    else this.#shortSince ??= now;
  }

  /**
   * Begins a write.
   *
   * @param inUse - amount that is or may be running, which the stored value must cover
   * @param isFinal - whether nothing is started after the write, so that no more than what is in use is needed
   * @returns value to write
   */
  public beginWrite(inUse: Room, isFinal: boolean): Room {
    const value = isFinal ? inUse : combineRooms(this.#target, inUse, Math.max);
    this.#limit = combineRooms(this.#limit, value, Math.min);
    this.#storedTarget = undefined;
    this.#writtenTarget = this.#target;
    return value;
  }

  /**
   * Records that a write is confirmed, which also excludes the effect of all earlier ones.
   *
   * @param value - written value
   * @returns whether the limit has risen
   */
  public confirmWrite(value: Room): boolean {
    const hasRisen = !resources.fits(value, this.#limit);
    this.#limit = value;
    this.#storedTarget = this.#writtenTarget;
    if (hasRisen) this.#shortSince = undefined;
    return hasRisen;
  }
}

const computeLevel = (needed: number, cap: number): number => {
  if (cap <= 0) return 0;
  const { headroomFactor, levelShare } = allowanceLimits;
  const levels = Math.max(1, Math.ceil((needed * headroomFactor) / (cap * levelShare)));
  return Math.min(cap, Math.ceil(levels * cap * levelShare));
};
