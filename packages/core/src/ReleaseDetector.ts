import { periods } from './periods.js';

/** Fraction by which two clocks may diverge over the whole time: 1% each, rounded up. */
const maxDriftFraction = 0.03;
/** Covers the intervals of the owner's timer and of stop commands, and the transport. */
const marginMs = 2000;

/** What was read from the store about a shard. */
interface ClaimObservation {
  /** Whether an owner or a takeover holds the claim. */
  readonly isClaimed: boolean;
  /** Epoch of the last owner; claims of takeovers do not count. */
  readonly epoch: number;
  /** Version of the release terms of the shard. */
  readonly termsVersion: number;
  /** Published release delays: per queue, the milliseconds without contact after which the owner releases it. */
  readonly published: ReadonlyMap<string, number>;
}

/** A period during which the shard had no claim and nothing else changed. */
interface UnclaimedPeriod {
  /** Monotonic time in milliseconds at which the period began. */
  readonly since: number;
  readonly epoch: number;
  readonly termsVersion: number;
}

/**
 * Determines from another data centre when the owner of a shard that is cut off has certainly released a
 * queue. The time counts from when the shard was first seen without a claim, which is later than the last
 * contact of its owner with the store, and starts again after any change.
 */
export class ReleaseDetector {
  #unclaimed: UnclaimedPeriod | undefined;

  /** Epoch of the owner for which the time is counted; undefined while no time is counted. */
  public get epoch(): number | undefined {
    return this.#unclaimed?.epoch;
  }

  /**
   * Applies what was read from the store.
   *
   * @param observation - what was read
   * @param now - monotonic time after the read in milliseconds
   * @returns the queues that the owner has certainly released
   */
  public observe(observation: ClaimObservation, now: number): ReadonlySet<string> {
    const { isClaimed, epoch, termsVersion, published } = observation;
    const isUnchanged =
      this.#unclaimed?.epoch === epoch && this.#unclaimed.termsVersion === termsVersion;
    if (isClaimed) this.#unclaimed = undefined;
    else if (!isUnchanged) this.#unclaimed = { since: now, epoch, termsVersion };
    const due = new Set<string>();
    if (this.#unclaimed === undefined) return due;
    const waitedMs = now - this.#unclaimed.since;
    for (const [queue, ms] of published) {
      if (waitedMs >= ReleaseDetector.calculateWaitMs(ms)) due.add(queue);
    }
    return due;
  }

  /**
   * Calculates how long other data centres wait before they take over a queue: the sum of its release delay,
   * the lease of the claim, the time to stop its tasks and a worker lease (for workers that do not stop
   * them), plus the drift of the clocks.
   *
   * @param releaseMs - milliseconds without contact after which the owner releases the queue
   * @returns milliseconds that the shard has to be without a claim
   */
  public static calculateWaitMs(releaseMs: number): number {
    const { claimLeaseMs, releaseStopMs, workerLeaseMs } = periods;
    const totalMs = releaseMs + claimLeaseMs + releaseStopMs + workerLeaseMs;
    return totalMs * (1 + maxDriftFraction) + marginMs;
  }
}
