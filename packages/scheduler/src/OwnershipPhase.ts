import type { Clock } from '@toucanline/core';
import type { Ownership } from './Ownership.js';

/** Phase of an ownership, and the actions that it allows at this moment. */
export class OwnershipPhase {
  readonly #ownership: Ownership;
  readonly #clock: Clock;
  #isActive = true;
  #isFrozen = false;
  #servingAt: number | undefined;

  /**
   * @param ownership - claim or other basis of the ownership
   * @param clock - source of time
   */
  public constructor(ownership: Ownership, clock: Clock) {
    this.#ownership = ownership;
    this.#clock = clock;
  }

  /** Whether the ownership has not ended. */
  public get isActive(): boolean {
    return this.#isActive;
  }

  /** Whether the ownership is active and the shard is not being handed over. */
  public get isOperational(): boolean {
    return this.#isActive && !this.#isFrozen;
  }

  /** Whether requests have been accepted at any time. */
  public get hasServed(): boolean {
    return this.#servingAt !== undefined;
  }

  /** Whether requests may be submitted here. */
  public get isServing(): boolean {
    return this.isOperational && this.hasServed;
  }

  /** Time for which requests have been accepted, in milliseconds; -Infinity before that. */
  public get servedMs(): number {
    return this.#clock.now() - (this.#servingAt ?? Infinity);
  }

  /** Whether the ownership started without a claim in the store. */
  public get isWithoutClaim(): boolean {
    return this.#ownership.basis !== 'claimed';
  }

  /** Whether no pause of this process left the validity of the claim open; always true without a claim. */
  public get isClaimSettled(): boolean {
    return this.isWithoutClaim || this.#ownership.readClaimState() !== 'unsettled';
  }

  /** Whether the store lease of the claim is certainly valid, so that no other owner exists. */
  public get isClaimConfirmed(): boolean {
    return !this.isWithoutClaim && this.#ownership.readClaimState() === 'confirmed';
  }

  /** Whether nothing can be committed, because the store is unreachable or there is no claim. */
  public get isStoreUnreachable(): boolean {
    return this.isWithoutClaim || this.#ownership.readClaimState() === 'unreachable';
  }

  /** Whether commands, commits and replies may be sent. */
  public get canAct(): boolean {
    return this.isOperational && this.isClaimSettled;
  }

  /** Records that requests are accepted from now on. */
  public startServing(): void {
    this.#servingAt ??= this.#clock.now();
  }

  /** Stops all actions, before the shard is handed over. */
  public freeze(): void {
    this.#isFrozen = true;
  }

  /** Ends the ownership. */
  public end(): void {
    this.#isActive = false;
  }
}
