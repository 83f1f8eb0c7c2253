import type { Room } from '@toucanline/schema';
import { JobRateLimiter } from './JobRateLimiter.js';
import { resources } from './resources.js';

/** What one client account has running on all workers, against its cap. */
export class AccountUsage {
  /** Name of the account. */
  public readonly name: string;
  #used: Room = resources.none;
  #cap: Room = resources.none;
  /** Room that an earlier leader gave on workers which this one has not reached. */
  readonly #inheritedUsage = new Map<string, Room>();
  #weight = 1;
  readonly #rateLimit = new JobRateLimiter();

  /** @param name - name of the account */
  public constructor(name: string) {
    this.name = name;
  }

  /** Room in use, orders without an answer included. */
  public get used(): Room {
    return this.#used;
  }

  /** Use relative to the weight; the lower, the sooner its work starts on a full fleet. */
  public get relativeUse(): number {
    return resources.toProcessorEquivalents(this.#used) / this.#weight;
  }

  /** Whether it uses more than its cap; it may after the cap was lowered, but nothing starts then. */
  public get isOverCap(): boolean {
    return !this.canAdmit(resources.none);
  }

  /**
   * Counts an accepted job against the rate that the account is entitled to: its weight in jobs per second.
   *
   * @param now - monotonic time
   * @returns whether the job is within the rate
   */
  public takeRateToken(now: number): boolean {
    // An open queue has no account and so no rate.
    return this.name === '' || this.#rateLimit.takeToken(this.#weight, now);
  }

  /**
   * Sets the limits of the account.
   *
   * @param weight - share of a full fleet
   * @param cap - most room in use; 0 is no limit
   */
  public configure(weight: number, cap: Room | undefined): void {
    this.#weight = weight > 0 ? weight : 1;
    this.#cap = cap ?? resources.none;
  }

  /**
   * Adds room to the use.
   *
   * @param size - room of a task
   * @param times - 1 when it is placed, -1 when it left
   */
  public add(size: Room, times: number): void {
    this.#used = resources.add(this.#used, size, times);
  }

  /**
   * Counts what an earlier leader gave on a worker that is not reached yet.
   *
   * @param worker - id of the worker
   * @param room - the room; undefined once the worker told what it runs, or its leases lapsed
   */
  public setInheritedUsage(worker: string, room: Room | undefined): void {
    if (room === undefined) this.#inheritedUsage.delete(worker);
    else this.#inheritedUsage.set(worker, room);
  }

  /**
   * Tells whether a task stays within the cap.
   *
   * @param size - room of the task
   * @param count - how many of them
   * @returns whether it does
   */
  public canAdmit(size: Room, count = 1): boolean {
    let next = resources.add(this.#used, size, count);
    for (const room of this.#inheritedUsage.values()) next = resources.add(next, room);
    const isWithin = (value: number, cap: number): boolean => cap <= 0 || value <= cap;
    return (
      isWithin(next.milliProcessors, this.#cap.milliProcessors) &&
      isWithin(next.memoryMb, this.#cap.memoryMb) &&
      isWithin(next.accelerators, this.#cap.accelerators)
    );
  }
}
