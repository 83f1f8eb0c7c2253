import type { Link } from '@toucanline/wire';
import { hostLimits } from './hostLimits.js';

/** Delay of an answer from which its host, which may be cut off, gets no further calls, in milliseconds. */
const overdueMs = 150;
/** Time for which a host is not used after a failed call, in milliseconds. */
const retryMs = 1000;

/**
 * Host through which permits are requested. The advice service serves each host one call at a time, so short calls are
 * sent one behind the other, and a long one alone.
 */
export class AdviceChannel {
  /** Link to the host; undefined for the leader's own host. */
  public readonly link: Link | undefined;
  #pendingCalls = 0;
  #pendingMs = 0;
  /** Monotonic time of the last answer, or of the first pending call if that is later, in milliseconds. */
  #progressAt = 0;
  #pausedUntil = 0;

  /** @param link - link to the host; undefined for the leader's own host */
  public constructor(link: Link | undefined) {
    this.link = link;
  }

  /** Expected duration of all calls that were sent and not answered, in milliseconds. */
  public get pendingMs(): number {
    return this.#pendingMs;
  }

  /**
   * Checks whether a call can be sent now.
   *
   * @param expectedMs - expected duration of the call, in milliseconds
   * @param now - monotonic time in milliseconds
   * @returns false while the host does not answer, or if the call would wait behind a long one
   */
  public canTake(expectedMs: number, now: number): boolean {
    if (this.#pausedUntil > now) return false;
    if (this.#pendingCalls === 0) return true;
    const isOverdue = now - this.#progressAt > this.#pendingMs + overdueMs;
    return !isOverdue && this.#pendingMs + expectedMs <= hostLimits.shortAdviceCallMs;
  }

  /**
   * Records that a call was sent.
   *
   * @param expectedMs - expected duration of the call, in milliseconds
   * @param now - monotonic time in milliseconds
   */
  public begin(expectedMs: number, now: number): void {
    if (this.#pendingCalls === 0) this.#progressAt = now;
    this.#pendingCalls += 1;
    this.#pendingMs += expectedMs;
  }

  /**
   * Records that a call was answered or has failed.
   *
   * @param expectedMs - expected duration of the call, in milliseconds
   * @param now - monotonic time in milliseconds
   * @param isAnswered - whether the call was answered
   */
  public end(expectedMs: number, now: number, isAnswered: boolean): void {
    this.#progressAt = now;
    this.#pendingCalls -= 1;
    // Without calls the sum starts anew, since rounding errors would add up.
    this.#pendingMs = this.#pendingCalls === 0 ? 0 : this.#pendingMs - expectedMs;
    if (!isAnswered) this.#pausedUntil = now + retryMs;
  }
}
