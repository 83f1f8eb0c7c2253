import type { Room } from '@toucanline/schema';
import { combineRooms } from './accounts/combineRooms.js';
import { countWithinLimit } from './accounts/countWithinLimit.js';
import { isWithinLimit } from './accounts/isWithinLimit.js';
import { JobRateLimiter } from './JobRateLimiter.js';
import { resources } from './resources.js';

/** Resources that one client account uses on all workers, and its limits. */
export class AccountUsage {
  /** Name of the account. */
  public readonly name: string;
  #used: Room = resources.none;
  #cap: Room = resources.none;
  #changeCount = 0;
  /** Resources that a previous leader had placed on workers which this leader has not surveyed, by worker id. */
  readonly #inheritedUsage = new Map<string, Room>();
  /** Sum of the inherited usage of all workers. */
  #inheritedSum: Room = resources.none;
  /** Resources that a previous leader may use on unsurveyed workers by its allowance. */
  #unseenUsage: Room = resources.none;
  #strayUsage: Room = resources.none;
  /** Resources that this leader may have in use by its stored allowance. */
  #allowance: Room = resources.none;
  #isShort = false;
  #weight = 1;
  readonly #rateLimit = new JobRateLimiter();

  /** @param name - name of the account */
  public constructor(name: string) {
    this.name = name;
  }

  /** Resources in use, including tasks whose start is not confirmed yet. */
  public get used(): Room {
    return this.#used;
  }

  /** Maximum resources in use; 0 for no limit in a dimension. */
  public get cap(): Room {
    return this.#cap;
  }

  /** Whether any resource is limited. */
  public get hasCap(): boolean {
    const { milliProcessors, memoryMb, accelerators } = this.#cap;
    return milliProcessors > 0 || memoryMb > 0 || accelerators > 0;
  }

  /** Resources that are or may be in use: those of placed tasks, of stray runs and of runs of previous leaders. */
  public get total(): Room {
    // The allowance of the previous leader includes what its record says of the unsurveyed workers.
    const inherited = combineRooms(this.#inheritedSum, this.#unseenUsage, Math.max);
    return resources.add(resources.add(this.#used, this.#strayUsage), inherited);
  }

  /** Resources that a previous leader had placed on workers which this leader has not surveyed, by worker id. */
  public get inheritedUsage(): ReadonlyMap<string, Room> {
    return this.#inheritedUsage;
  }

  /**
   * Usage in processor equivalents relative to the weight; on a full fleet, work of accounts with a low value goes
   * first.
   */
  public get relativeUse(): number {
    return resources.toProcessorEquivalents(this.#used) / this.#weight;
  }

  /**
   * Whether the usage exceeds the cap or the allowance. This happens after the cap was lowered, or if runs become known
   * late; no task of the account starts then.
   */
  public get isOverCap(): boolean {
    if (!this.hasCap) return false;
    const { total } = this;
    return (
      !isWithinLimit(total, this.#cap, this.#cap) ||
      !isWithinLimit(total, this.#allowance, this.#cap)
    );
  }

  /** Number of changes of the usage since the account has been known; 0 without a cap. */
  public get cappedChangeCount(): number {
    return this.hasCap ? this.#changeCount : 0;
  }

  /**
   * Counts an accepted job against the entitled rate of the account: its weight in jobs per second.
   *
   * @param now - monotonic time in milliseconds
   * @returns whether the job is within the rate
   */
  public takeRateToken(now: number): boolean {
    // Jobs of an open queue have no account, so no rate applies.
    return this.name === '' || this.#rateLimit.takeToken(this.#weight, now);
  }

  /**
   * Sets the limits of the account.
   *
   * @param weight - share of a full fleet, and entitled rate in jobs per second; a value that is not positive counts
   * as 1
   * @param cap - maximum resources in use, 0 for no limit in that dimension; undefined for no limits
   */
  public configure(weight: number, cap: Room | undefined): void {
    this.#weight = weight > 0 ? weight : 1;
    this.#cap = cap ?? resources.none;
  }

  /**
   * Adds the resources of a task to the usage.
   *
   * @param size - resources of the task
   * @param times - 1 when the task is placed, -1 when it is released
   */
  public add(size: Room, times: number): void {
    this.#used = resources.add(this.#used, size, times);
    this.#changeCount += 1;
  }

  /**
   * Sets the usage that a previous leader had placed on a worker which is not surveyed yet.
   *
   * @param worker - id of the worker
   * @param used - resources in use; undefined once the worker was surveyed or its leases have expired
   */
  public setInheritedUsage(worker: string, used: Room | undefined): void {
    if (used === undefined) this.#inheritedUsage.delete(worker);
    else this.#inheritedUsage.set(worker, used);
    this.#inheritedSum = [...this.#inheritedUsage.values()].reduce<Room>(
      (sum, each) => resources.add(sum, each),
      resources.none,
    );
  }

  /**
   * Sets what a previous leader may use on unsurveyed workers by its allowance.
   *
   * @param unseen - resources, including those of the inherited usage
   */
  public setUnseenUsage(unseen: Room): void {
    this.#unseenUsage = unseen;
  }

  /**
   * Adds the resources of a stray run to the usage.
   *
   * @param size - resources of the run
   * @param times - 1 when the run is reported, -1 when it has ended
   */
  public addStray(size: Room, times: number): void {
    this.#strayUsage = resources.add(this.#strayUsage, size, times);
  }

  /**
   * Sets the allowance. Until then, no task of an account with a cap starts.
   *
   * @param allowance - resources that this leader may have in use
   */
  public setAllowance(allowance: Room): void {
    this.#allowance = allowance;
  }

  /**
   * Checks whether further tasks may start.
   *
   * @param size - resources of one task
   * @param count - number of tasks
   * @returns whether the usage stays within the cap and the allowance
   */
  public canAdmit(size: Room, count = 1): boolean {
    return !this.hasCap || this.countStartable(size) >= count;
  }

  /** Records that the allowance has held back tasks which the cap allows. */
  public recordShortage(): void {
    this.#isShort = true;
  }

  /**
   * Takes the recorded shortage.
   *
   * @returns whether the allowance has held back tasks since the last call
   */
  public takeShortage(): boolean {
    const isShort = this.#isShort;
    this.#isShort = false;
    return isShort;
  }

  /**
   * Counts the further tasks that may start now.
   *
   * @param size - resources of one task
   * @returns number of tasks within the cap and the allowance
   */
  public countStartable(size: Room): number {
    if (!this.hasCap) return Infinity;
    const { total } = this;
    return Math.min(
      countWithinLimit(size, total, this.#cap, this.#cap),
      countWithinLimit(size, total, this.#allowance, this.#cap),
    );
  }

  /**
   * Counts the further tasks that may start once the allowance suffices.
   *
   * @param size - resources of one task
   * @returns number of tasks within the cap
   */
  public countWithinCap(size: Room): number {
    return this.hasCap ? countWithinLimit(size, this.total, this.#cap, this.#cap) : Infinity;
  }
}
