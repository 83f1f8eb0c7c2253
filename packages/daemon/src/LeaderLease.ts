import { schedulingLimits } from '@toucanline/jobs';
import { ConfirmationAge } from './ConfirmationAge.js';
import { hostLimits } from './hostLimits.js';

/** Leader lease that this host holds for one term. */
export class LeaderLease {
  /** Term of the leader; fencing tokens derive from it. */
  public readonly term: number;
  /** Store revision of the holder key, as written at the election. */
  public readonly holderRevision: number;
  /** Id of the store lease that the holder key is attached to. */
  public readonly leaseId: number;
  readonly #renewalAge = new ConfirmationAge();
  #isLost = false;

  /**
   * @param term - term of the leader; fencing tokens derive from it
   * @param holderRevision - store revision of the holder key
   * @param leaseId - id of the store lease
   */
  public constructor(term: number, holderRevision: number, leaseId: number) {
    this.term = term;
    this.holderRevision = holderRevision;
    this.leaseId = leaseId;
  }

  /** Whether the lease certainly has not expired, so that no other host can have been elected. */
  public get isValid(): boolean {
    const { leaderLeaseTtlMs, leaseSafetyMarginMs } = hostLimits;
    return !this.#isLost && this.#renewalAge.computeMs() < leaderLeaseTtlMs - leaseSafetyMarginMs;
  }

  /**
   * Whether commands may still be issued for work that was known before the last renewal. The next leader waits for
   * the same time before it starts tasks again that may still run on a worker it cannot reach.
   */
  public get canIssueCommands(): boolean {
    const { leaderLeaseTtlMs } = hostLimits;
    const { leaderGraceMs } = schedulingLimits;
    return !this.#isLost && this.#renewalAge.computeMs() < leaderLeaseTtlMs + leaderGraceMs;
  }

  /** Whether the lease is known to have expired or another host to have been elected. */
  public get isLost(): boolean {
    return this.#isLost;
  }

  /**
   * Records a successful renewal.
   *
   * @param monotonicAt - monotonic time in milliseconds before the renewal was sent
   * @param wallAt - wall-clock time in milliseconds before the renewal was sent
   */
  public recordRenewal(monotonicAt: number, wallAt: number): void {
    this.#renewalAge.confirm(monotonicAt, wallAt);
  }

  /** Marks the lease as lost for good. */
  public markLost(): void {
    this.#isLost = true;
  }
}
