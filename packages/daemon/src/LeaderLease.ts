import { schedulingLimits } from '@toucanline/jobs';
import { ConfirmationAge } from './ConfirmationAge.js';
import { hostLimits } from './hostLimits.js';

/** What a leader knows of its own claim. */
export class LeaderLease {
  /** Fencing token. */
  public readonly term: number;
  /** Revision of the holder's key in the store. */
  public readonly holderRevision: number;
  /** Lease behind the key. */
  public readonly leaseId: number;
  readonly #renewalAge = new ConfirmationAge();
  #isLost = false;

  /**
   * @param term - fencing token
   * @param revision - revision of the holder's key
   * @param lease - lease behind the key
   */
  public constructor(term: number, revision: number, lease: number) {
    this.term = term;
    this.holderRevision = revision;
    this.leaseId = lease;
  }

  /** Whether the lease surely still runs, so that no other host can have been elected. */
  public get isValid(): boolean {
    const { leaderLeaseTtlMs: leaderTtlMs, leaseSafetyMarginMs: leaseMarginMs } = hostLimits;
    return !this.#isLost && this.#renewalAge.computeMs() < leaderTtlMs - leaseMarginMs;
  }

  /**
   * Whether orders for work that was known before the last renewal may still be given. A successor waits for as
   * long before it starts what may run on a worker that it does not reach.
   */
  public get canIssueCommands(): boolean {
    const { leaderLeaseTtlMs: leaderTtlMs } = hostLimits;
    const { leaderGraceMs } = schedulingLimits;
    return !this.#isLost && this.#renewalAge.computeMs() < leaderTtlMs + leaderGraceMs;
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
  public recordRenewal(monotonicAt: number, wallAt: number): void {
    this.#renewalAge.confirm(monotonicAt, wallAt);
  }

  /** Gives the claim up for good. */
  public markLost(): void {
    this.#isLost = true;
  }
}
