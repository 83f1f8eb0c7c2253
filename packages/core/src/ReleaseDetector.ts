import { periods } from './periods.js';

/** Part by which two clocks may differ over the whole time: 1% on either side, rounded up. */
const driftFraction = 0.03;
/** Rounds of the owner's timer, of stop commands and of the transport. */
const marginMs = 2000;

/** What the store says about a shard. */
interface ClaimObservation {
  /** Whether an owner or a takeover holds the claim. */
  readonly isClaimed: boolean;
  /** Epoch of the last owner that is not a takeover. */
  readonly epoch: number;
  /** Version of the release terms of the shard. */
  readonly termsVersion: number;
  /** Milliseconds per queue after which the owner has given up the work. */
  readonly published: ReadonlyMap<string, number>;
}

/** What the time without a claim is counted for. */
interface UnclaimedPeriod {
  readonly since: number;
  readonly epoch: number;
  readonly termsVersion: number;
}

/**
 * Decides from another data centre when the owner of a shard has surely given up the work of a queue. It
 * counts from when it first saw the shard without a claim, which is later than the last contact of its
 * owner, and starts again when anything changed.
 */
export class ReleaseDetector {
  #unclaimed: UnclaimedPeriod | undefined;

  /** Epoch of the owner that the time is counted for; undefined while nothing is counted. */
  public get epoch(): number | undefined {
    return this.#unclaimed?.epoch;
  }

  /**
   * Applies what the store says.
   *
   * @param observation - what was read
   * @param now - local monotonic time after the read, in milliseconds
   * @returns the queues whose time has surely run out on both sides
   */
  public observe(observation: ClaimObservation, now: number): ReadonlySet<string> {
    const { isClaimed, epoch, termsVersion, published } = observation;
    const isSame =
      this.#unclaimed?.epoch === epoch && this.#unclaimed.termsVersion === termsVersion;
    if (isClaimed) this.#unclaimed = undefined;
    else if (!isSame) this.#unclaimed = { since: now, epoch, termsVersion };
    const due = new Set<string>();
    if (this.#unclaimed === undefined) return due;
    const waitedMs = now - this.#unclaimed.since;
    for (const [queue, ms] of published) {
      if (waitedMs >= ReleaseDetector.calculateWaitMs(ms)) due.add(queue);
    }
    return due;
  }

  /**
   * Calculates how long others wait for a queue: its time, the lease of the claim, the time for the stop
   * of its tasks, a worker lease for workers that did not stop them, and the drift of the clocks.
   *
   * @param releaseMs - time after which the owner gives the work up
   * @returns milliseconds without a claim
   */
  public static calculateWaitMs(releaseMs: number): number {
    const { claimLeaseMs, releaseStopMs, workerLeaseMs } = periods;
    const totalMs = releaseMs + claimLeaseMs + releaseStopMs + workerLeaseMs;
    return totalMs * (1 + driftFraction) + marginMs;
  }
}
