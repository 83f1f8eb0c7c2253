import { periods, type Clock, type RandomSource, type Router } from '@toucanline/core';
import type { Link } from '@toucanline/wire';
import type { StoreAvailability } from './StoreAvailability.js';

const attemptIntervalMs = 1000;
/**
 * Interval of reading the claim while its owner is alive: with many schedulers and shards, these reads would be most
 * of the load of the store. Two missed heartbeats of the owner end the interval early, before the claim of a dead
 * owner expires.
 */
const liveOwnerCheckIntervalMs = 4000;
const ownerSilenceTimeoutMs = 2000;
/**
 * Time for which an expired claim is reserved for its last holder, if that is alive, and the poll interval meanwhile.
 * The owner may have lost the store like this process. It tries to reclaim its shard after 1.3 s at the latest, and
 * only it knows the outcomes of tasks that the journal lacks.
 */
const reclaimGraceMs = 1500;
const expiredClaimPollMs = 250;
/** Interval and period of the attempts while the owner hands the shard over. */
const handoverPollIntervalMs = 20;
const handoverTimeoutMs = 3000;
/** Silence of the owner after which a candidate may own the shard without the store. */
const storelessOwnerSilenceMs = 4000;
/**
 * Delay of an attempt without the store for all candidates but the first by name: candidates that try at the same
 * time split the workers among them, and each forces the others to step down by a higher epoch.
 */
const laterCandidateDelayMs = 20_000;

/** Dependencies of the timing. */
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

/** Decides when a candidate tries to claim its shard, from the responses of the store and the activity of peers. */
export class ClaimTiming {
  readonly #dependencies: TimingDependencies;
  /** Local monotonic time when the complete state of a peer was received, in milliseconds. */
  #handoverReceivedAt = -Infinity;
  /** Local monotonic time when a peer accepted the complete state of this process, in milliseconds. */
  #handoverSentAt = -Infinity;

  /** @param dependencies - services and peers to use */
  public constructor(dependencies: TimingDependencies) {
    this.#dependencies = dependencies;
  }

  /** Time since the complete state of a peer was received, in milliseconds. */
  public get sinceHandoverMs(): number {
    return this.#dependencies.clock.now() - this.#handoverReceivedAt;
  }

  /** Whether no attempt is needed: as far as is known, a peer owns the shard or is about to claim it. */
  public get canSkipAttempt(): boolean {
    const { clock, storeAvailability, router, shard } = this.#dependencies;
    if (clock.now() - this.#handoverSentAt < handoverTimeoutMs) return true;
    if (this.#isHandoverPending || storeAvailability.unclaimedMs !== undefined) return false;
    return (
      storeAvailability.hasRecentAnswer(liveOwnerCheckIntervalMs) &&
      router.hasLiveOwner(shard, ownerSilenceTimeoutMs)
    );
  }

  /** Whether a claim without a holder is reserved for its last holder for now. */
  public get isReservedForLastHolder(): boolean {
    return (
      this.#isOtherOwnerAlive &&
      (this.#dependencies.storeAvailability.unclaimedMs ?? 0) < reclaimGraceMs
    );
  }

  /** Whether this process may own the shard without the store now. */
  public get canOwnWithoutStore(): boolean {
    const waitMs = this.#isFirstCandidate ? 0 : laterCandidateDelayMs;
    return this.#dependencies.storeAvailability.isDown(waitMs) && !this.hasOtherOwner;
  }

  /** Whether another process announced its ownership of the shard within the last 4 s. */
  public get hasOtherOwner(): boolean {
    const { router, shard, process } = this.#dependencies;
    const load = router.findLoad(shard, storelessOwnerSilenceMs);
    return load !== undefined && load.owner !== process;
  }

  /** Records that the complete state of a peer was received. */
  public recordHandoverReceived(): void {
    this.#handoverReceivedAt = this.#dependencies.clock.now();
  }

  /** Records that a peer accepted the complete state of this process, so that the peer claims the shard first. */
  public recordHandoverSent(): void {
    this.#handoverSentAt = this.#dependencies.clock.now();
  }

  /**
   * Chooses the pause before the next attempt.
   *
   * @returns length of the pause in milliseconds
   */
  public choosePauseMs(): number {
    if (this.#isHandoverPending) return handoverPollIntervalMs;
    const isReserved =
      this.#dependencies.storeAvailability.unclaimedMs !== undefined && this.#isOtherOwnerAlive;
    return isReserved
      ? expiredClaimPollMs
      : attemptIntervalMs * (0.5 + this.#dependencies.random.next() / 2);
  }

  /** Whether the previous owner is about to release its claim for this process. */
  get #isHandoverPending(): boolean {
    return this.sinceHandoverMs < handoverTimeoutMs;
  }

  /**
   * Whether another process owns the shard and is alive. Its last message may be as old as the timeout of a link:
   * heartbeats are omitted after other traffic, so after a stall of half a second the age reaches 2 s.
   */
  get #isOtherOwnerAlive(): boolean {
    const { router, shard, process } = this.#dependencies;
    const isOwn = router.findLoad(shard)?.owner === process;
    return !isOwn && router.hasLiveOwner(shard, periods.linkTimeoutMs);
  }

  /** Whether this process is the first by name among the schedulers of the data centre that it has links to. */
  get #isFirstCandidate(): boolean {
    const { process, listPeers } = this.#dependencies;
    return listPeers().every((link) => process < (link.peer?.process ?? ''));
  }
}
