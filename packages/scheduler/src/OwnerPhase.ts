import type { Clock } from '@toucanline/core';
import type { Ownership } from './Ownership.js';

/** What a process may do under an ownership at this moment. */
export class OwnerPhase {
  readonly #ownership: Ownership;
  readonly #clock: Clock;
  #active = true;
  #frozen = false;
  #servingAt: number | undefined;

  /**
   * @param ownership - the right to act
   * @param clock - source of time
   */
  public constructor(ownership: Ownership, clock: Clock) {
    this.#ownership = ownership;
    this.#clock = clock;
  }

  /** Whether this process still acts as the owner. */
  public get isActive(): boolean {
    return this.#active;
  }

  /** Whether this process acts as the owner and does not hand the shard over. */
  public get isOpen(): boolean {
    return this.#active && !this.#frozen;
  }

  /** Whether requests were taken at any time. */
  public get hasServed(): boolean {
    return this.#servingAt !== undefined;
  }

  /** Whether requests may be submitted here. */
  public get isServing(): boolean {
    return this.isOpen && this.hasServed;
  }

  /** Time since which requests are taken, in milliseconds. */
  public get servedMs(): number {
    return this.#clock.now() - (this.#servingAt ?? Infinity);
  }

  /** Whether the ownership was taken without the store. */
  public get isStoreless(): boolean {
    return this.#ownership.basis !== 'claimed';
  }

  /** Whether the claim was not left behind by a pause of this process. */
  public get isStanding(): boolean {
    return this.isStoreless || this.#ownership.readStanding() !== 'unsettled';
  }

  /** Whether the store lease behind the claim is certainly valid, so that no other owner exists. */
  public get isConfirmed(): boolean {
    return !this.isStoreless && this.#ownership.readStanding() === 'confirmed';
  }

  /** Whether the store cannot be reached, so that nothing can be committed. */
  public get isWithoutStore(): boolean {
    return this.isStoreless || this.#ownership.readStanding() === 'unreachable';
  }

  /** Whether commands, commits and answers may be sent. */
  public get mayAct(): boolean {
    return this.isOpen && this.isStanding;
  }

  /** Notes that requests are taken from now on. */
  public beginServing(): void {
    this.#servingAt ??= this.#clock.now();
  }

  /** Stops to act, before the shard is handed over. */
  public freeze(): void {
    this.#frozen = true;
  }

  /** Ends the ownership. */
  public end(): void {
    this.#active = false;
  }
}
