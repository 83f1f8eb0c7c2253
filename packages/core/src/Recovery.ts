import type { Fleet } from './Fleet.js';
import { periods } from './periods.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';

/** Covers clock drift and the transport of the last lease that the previous owner granted. */
const marginMs = 1000;

/**
 * The first phase of an ownership: until each worker has reported under the new epoch, or its lease to
 * the previous owner has certainly expired, work that may be running already is held back.
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
   * @param context - what the parts of the shard share
   * @param fleet - workers of the shard
   */
  public constructor(context: ShardContext, fleet: Fleet) {
    this.#context = context;
    this.#fleet = fleet;
    this.#startedAt = context.clock.now();
  }

  /** Whether the phase is over. */
  public get isComplete(): boolean {
    return this.#isComplete;
  }

  /**
   * Checks whether the reports prove that no earlier owner started a request that no worker reported.
   * A worker that booted after the request may have started says nothing: it forgot its tasks.
   *
   * @param record - the request
   * @returns true if it certainly did not run
   */
  public isProvenNotStarted(record: RequestRecord): boolean {
    return this.#isComplete && this.#provenSince <= record.earliestStartAt;
  }

  /** Notes that the host list was read. */
  public markHostsRead(): void {
    this.#hasHosts = true;
  }

  /** Notes that the journal of earlier owners was loaded, or that this owner serves without it. */
  public markJournalLoaded(): void {
    this.#hasJournal = true;
  }

  /**
   * Holds a request back that an earlier owner may have started.
   *
   * @param record - the request
   */
  public hold(record: RequestRecord): void {
    record.setReason('waits until the new owner of the shard knows what is running');
    this.#held.add(record);
  }

  /**
   * Ends the phase if all workers are accounted for.
   *
   * @returns the requests that were held back; undefined if the phase goes on or was over before
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
   * A provisional owner cannot rule out that the former owner still renews the leases of the workers
   * that it cannot reach, so for it only reports end the phase.
   */
  #hasExpired(waitedMs: number): boolean {
    return !this.#context.provisional && waitedMs >= periods.workerLeaseMs + marginMs;
  }

  /**
   * Stops holding a request back, because a worker reported it or it was cancelled.
   *
   * @param record - the request
   * @returns true if it was held back
   */
  public stopHolding(record: RequestRecord): boolean {
    return this.#held.delete(record);
  }
}
