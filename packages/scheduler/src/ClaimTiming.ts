import { periods, type Clock, type RandomSource, type Router } from '@toucanline/core';
import type { Link } from '@toucanline/wire';
import type { StoreAvailability } from './StoreAvailability.js';

const attemptIntervalMs = 1000;
/**
 * While the owner gives signs of life, a candidate asks the store only this often: with many schedulers
 * and shards these reads would be most of the store's load. Two missing heartbeats end the rest, before
 * the claim of a dead owner expires.
 */
const liveOwnerCheckIntervalMs = 4000;
const ownerSilenceTimeoutMs = 2000;
/**
 * How long a claim that expired is left to an owner that gives signs of life, and how often it is looked at
 * meanwhile. The owner may have been without the store, like this process; it tries to claim its shard again
 * after 1.3 s at the latest, and only it knows the results that the journal missed.
 */
const reclaimGraceMs = 1500;
const expiredClaimPollMs = 250;
/** Interval of attempts while the owner hands the shard over, and how long they go on. */
const handoverPollIntervalMs = 20;
const handoverTimeoutMs = 3000;
/** Silence of an owner after which a candidate may act without the store. */
const storelessOwnerSilenceMs = 4000;
/**
 * Time for which a candidate leaves the attempt without the store to the one with the first name: candidates
 * that try at the same time split the workers, and each makes the others stand down by a higher epoch.
 */
const laterCandidateDelayMs = 20_000;

/** What the timing works with. */
interface TimingDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly router: Router;
  readonly shard: string;
  /** Name of this process. */
  readonly process: string;
  /** Lists open links to other schedulers of the data centre. */
  readonly listPeers: () => readonly Link[];
  readonly storeAvailability: StoreAvailability;
}

/** Decides when a candidate tries to claim its shard, from the answers of the store and the signs of life of peers. */
export class ClaimTiming {
  readonly #dependencies: TimingDependencies;
  /** Local monotonic time when a peer handed the whole state over, in milliseconds. */
  #handoverReceivedAt = -Infinity;
  /** Local monotonic time when this process handed the whole state to a peer, in milliseconds. */
  #handoverSentAt = -Infinity;

  /** @param parts - what the timing works with */
  public constructor(parts: TimingDependencies) {
    this.#dependencies = parts;
  }

  /** Time since a peer handed the whole state over, in milliseconds. */
  public get sinceHandoverMs(): number {
    return this.#dependencies.clock.now() - this.#handoverReceivedAt;
  }

  /** Whether nothing has to be tried: a peer owns the shard for all that is known, or is about to take it. */
  public get canSkipAttempt(): boolean {
    const { clock, storeAvailability: contact, router, shard } = this.#dependencies;
    if (clock.now() - this.#handoverSentAt < handoverTimeoutMs) return true;
    if (this.#isHandoverPending || contact.unclaimedMs !== undefined) return false;
    return (
      contact.hasRecentAnswer(liveOwnerCheckIntervalMs) &&
      router.hasLiveOwner(shard, ownerSilenceTimeoutMs)
    );
  }

  /** Whether a claim without a holder is left to its last holder for now. */
  public get isReservedForLastHolder(): boolean {
    return (
      this.#isOtherOwnerAlive &&
      (this.#dependencies.storeAvailability.unclaimedMs ?? 0) < reclaimGraceMs
    );
  }

  /** Whether it is the turn of this process to own the shard without the store. */
  public get canOwnWithoutStore(): boolean {
    const waitMs = this.#isFirstCandidate ? 0 : laterCandidateDelayMs;
    return this.#dependencies.storeAvailability.isDown(waitMs) && !this.hasOtherOwner;
  }

  /** Whether another process told a short while ago that it owns the shard. */
  public get hasOtherOwner(): boolean {
    const { router, shard, process } = this.#dependencies;
    const load = router.findLoad(shard, storelessOwnerSilenceMs);
    return load !== undefined && load.owner !== process;
  }

  /** Notes that a peer handed the whole state over. */
  public recordHandoverReceived(): void {
    this.#handoverReceivedAt = this.#dependencies.clock.now();
  }

  /** Notes that this process handed the whole state to a peer, which has to claim the shard first. */
  public recordHandoverSent(): void {
    this.#handoverSentAt = this.#dependencies.clock.now();
  }

  /**
   * Chooses the pause before the next attempt.
   *
   * @returns its length in milliseconds
   */
  public choosePauseMs(): number {
    if (this.#isHandoverPending) return handoverPollIntervalMs;
    const isReserved =
      this.#dependencies.storeAvailability.unclaimedMs !== undefined && this.#isOtherOwnerAlive;
    return isReserved
      ? expiredClaimPollMs
      : attemptIntervalMs * (0.5 + this.#dependencies.random.next() / 2);
  }

  /** Whether the former owner is about to release its claim for this process. */
  get #isHandoverPending(): boolean {
    return this.sinceHandoverMs < handoverTimeoutMs;
  }

  /**
   * Whether another process owns the shard by its own signs of life. They may be as old as on a link that is not
   * replaced yet: heartbeats are left out after other traffic, so a stall of half a second reaches 2 s.
   */
  get #isOtherOwnerAlive(): boolean {
    const { router, shard, process } = this.#dependencies;
    const isOwn = router.findLoad(shard)?.owner === process;
    return !isOwn && router.hasLiveOwner(shard, periods.linkTimeoutMs);
  }

  /** Whether no scheduler of the data centre that this process has a link to comes before it by name. */
  get #isFirstCandidate(): boolean {
    const { process, listPeers } = this.#dependencies;
    return listPeers().every((link) => process < (link.peer?.process ?? ''));
  }
}
