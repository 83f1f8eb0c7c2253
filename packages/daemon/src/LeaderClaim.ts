import { schedulingLimits } from '@toucanline/jobs';
import { ConfirmationAge } from './ConfirmationAge.js';
import { hostTimes } from './hostTimes.js';

/** What a leader knows of its own claim. */
export class LeaderClaim {
  /** Fencing token. */
  public readonly term: number;
  /** Revision of the holder's key in the store. */
  public readonly revision: number;
  /** Lease behind the key. */
  public readonly lease: number;
  readonly #age = new ConfirmationAge();
  #isLost = false;

  /**
   * @param term - fencing token
   * @param revision - revision of the holder's key
   * @param lease - lease behind the key
   */
  public constructor(term: number, revision: number, lease: number) {
    this.term = term;
    this.revision = revision;
    this.lease = lease;
  }

  /** Whether the lease surely still runs, so that no other host can have been elected. */
  public get isCurrent(): boolean {
    const { leaderTtlMs, leaseMarginMs } = hostTimes;
    return !this.#isLost && this.#age.read() < leaderTtlMs - leaseMarginMs;
  }

  /**
   * Whether orders for work that was known before the last renewal may still be given. A successor waits for as
   * long before it starts what may run on a worker that it does not reach.
   */
  public get mayOrder(): boolean {
    const { leaderTtlMs } = hostTimes;
    const { leaderGraceMs } = schedulingLimits;
    return !this.#isLost && this.#age.read() < leaderTtlMs + leaderGraceMs;
  }

  /** Whether another host is known to have taken over, or the lease to have ended. */
  public get isLost(): boolean {
    return this.#isLost;
  }

  /**
   * Notes a renewal.
   *
   * @param monotonicAt - monotonic time before it was sent
   * @param wallAt - wall time before it was sent
   */
  public confirm(monotonicAt: number, wallAt: number): void {
    this.#age.confirm(monotonicAt, wallAt);
  }

  /** Gives the claim up for good. */
  public lose(): void {
    this.#isLost = true;
  }
}
