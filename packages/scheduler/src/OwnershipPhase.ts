import type { Clock } from '@toucanline/core';
import type { Ownership } from './Ownership.js';

/** What a process may do under an ownership at this moment. */
export class OwnershipPhase {
  readonly #ownership: Ownership;
  readonly #clock: Clock;
  #isActive = true;
  #isFrozen = false;
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
    return this.#isActive;
  }

  /** Whether this process acts as the owner and does not hand the shard over. */
  public get isOperational(): boolean {
    return this.#isActive && !this.#isFrozen;
  }

  /** Whether requests were taken at any time. */
  public get hasServed(): boolean {
    return this.#servingAt !== undefined;
  }

  /** Whether requests may be submitted here. */
  public get isServing(): boolean {
    return this.isOperational && this.hasServed;
  }

  /** Time since which requests are taken, in milliseconds. */
  public get servedMs(): number {
    return this.#clock.now() - (this.#servingAt ?? Infinity);
  }

  /** Whether the ownership was taken without the store. */
  public get isWithoutClaim(): boolean {
    return this.#ownership.basis !== 'claimed';
  }

  /** Whether the claim was not left behind by a pause of this process. */
  public get isClaimSettled(): boolean {
    return this.isWithoutClaim || this.#ownership.readClaimState() !== 'unsettled';
  }

  /** Whether the store lease behind the claim is certainly valid, so that no other owner exists. */
  public get isClaimConfirmed(): boolean {
    return !this.isWithoutClaim && this.#ownership.readClaimState() === 'confirmed';
  }

  /** Whether the store cannot be reached, so that nothing can be committed. */
  public get isStoreUnreachable(): boolean {
    return this.isWithoutClaim || this.#ownership.readClaimState() === 'unreachable';
  }

  /** Whether commands, commits and answers may be sent. */
  public get canAct(): boolean {
    return this.isOperational && this.isClaimSettled;
  }

  /** Notes that requests are taken from now on. */
  public startServing(): void {
    this.#servingAt ??= this.#clock.now();
  }

  /** Stops to act, before the shard is handed over. */
  public freeze(): void {
    this.#isFrozen = true;
  }

  /** Ends the ownership. */
  public end(): void {
    this.#isActive = false;
  }
}
