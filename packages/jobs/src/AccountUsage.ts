import type { Room } from '@toucanline/schema';
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

  /**
   * Usage in processor equivalents relative to the weight; on a full fleet, work of accounts with a low value goes
   * first.
   */
  public get relativeUse(): number {
    return resources.toProcessorEquivalents(this.#used) / this.#weight;
  }

  /** Whether the usage exceeds the cap. This happens after the cap was lowered; no task of the account starts then. */
  public get isOverCap(): boolean {
    return !this.canAdmit(resources.none);
  }

  /** Number of changes of the usage since the account has been known; 0 without a cap. */
  public get cappedChangeCount(): number {
    const { milliProcessors, memoryMb, accelerators } = this.#cap;
    return milliProcessors > 0 || memoryMb > 0 || accelerators > 0 ? this.#changeCount : 0;
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
  }

  /**
   * Checks whether further tasks stay within the cap.
   *
   * @param size - resources of one task
   * @param count - number of tasks
   * @returns whether the usage stays within the cap
   */
  public canAdmit(size: Room, count = 1): boolean {
    let next = resources.add(this.#used, size, count);
    for (const used of this.#inheritedUsage.values()) next = resources.add(next, used);
    const isWithin = (value: number, cap: number): boolean => cap <= 0 || value <= cap;
    return (
      isWithin(next.milliProcessors, this.#cap.milliProcessors) &&
      isWithin(next.memoryMb, this.#cap.memoryMb) &&
      isWithin(next.accelerators, this.#cap.accelerators)
    );
  }
}
