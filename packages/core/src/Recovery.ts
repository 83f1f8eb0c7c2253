import type { Fleet } from './Fleet.js';
import { periods } from './periods.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';

/** Margin for clock drift and for the transport of the last lease that the previous owner granted. */
const leaseExpiryMarginMs = 1000;

/**
 * First phase of an ownership. Requests that may already be running are held back until each worker has reported
 * under the new epoch, or its lease to the previous owner has certainly expired.
 */
export class Recovery {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;
  readonly #startedAt: number;
  readonly #held = new Set<RequestRecord>();
  #hasHosts = false;
  #hasJournal = false;
  #isComplete = false;
  #provenSince = Infinity;

  /**
   * @param context - identity and services that the components of the shard share
   * @param fleet - workers of the shard
   */
  public constructor(context: ShardContext, fleet: Fleet) {
    this.#context = context;
    this.#fleet = fleet;
    this.#startedAt = context.clock.now();
  }

  /** Whether recovery is complete. */
  public get isComplete(): boolean {
    return this.#isComplete;
  }

  /**
   * Checks whether the reports prove that a request, which no worker reported, was not started by a previous
   * owner. The report of a worker that booted after the earliest possible start proves nothing, because the
   * worker has lost its tasks.
   *
   * @param record - a request that no worker reported
   * @returns true if the request certainly did not start
   */
  public isProvenNotStarted(record: RequestRecord): boolean {
    return this.#isComplete && this.#provenSince <= record.earliestStartAt;
  }

  /** Records that the host list was read. */
  public markHostsRead(): void {
    this.#hasHosts = true;
  }

  /** Records that the journal of previous owners was loaded, or that this owner serves without it. */
  public markJournalLoaded(): void {
    this.#hasJournal = true;
  }

  /**
   * Holds back a request that a previous owner may have started.
   *
   * @param record - the request
   */
  public hold(record: RequestRecord): void {
    record.setReason('waits until the new owner of the shard knows what is running');
    this.#held.add(record);
  }

  /**
   * Completes recovery if all workers have reported or their leases have expired.
   *
   * @returns the requests that were held back; undefined if recovery continues or was already complete
   */
  public finish(): readonly RequestRecord[] | undefined {
    if (this.#isComplete || !this.#hasHosts || !this.#hasJournal) return undefined;
    const missing = this.#fleet.workers.filter((worker) => !worker.hasReported);
    const waitedMs = this.#context.clock.now() - this.#startedAt;
    if (missing.length > 0 && !this.#hasExpired(waitedMs)) return undefined;
    this.#isComplete = true;
    this.#fleet.clearInherited();
    const boots = this.#fleet.workers.map(({ contact }) => contact.latestBootAt);
    this.#provenSince = boots.length === 0 ? Infinity : Math.max(...boots);
    const { shard, epoch, recorder } = this.#context;
    recorder.record('recoveryFinished', { shard, epoch, durationMs: waitedMs });
    const held = [...this.#held];
    this.#held.clear();
    return held;
  }

  /**
   * Checks whether all leases of the previous owner have expired. A provisional owner cannot rule out that the
   * previous owner still renews leases of workers that it cannot reach itself, so it waits for all reports.
   */
  #hasExpired(waitedMs: number): boolean {
    return !this.#context.provisional && waitedMs >= periods.workerLeaseMs + leaseExpiryMarginMs;
  }

  /**
   * Stops holding back a request, because a worker reported it or it was cancelled.
   *
   * @param record - the request
   * @returns true if it was held back
   */
  public stopHolding(record: RequestRecord): boolean {
    return this.#held.delete(record);
  }
}
