import { periods, type Clock, type RandomSource, type Router } from '@toucanline/core';
import type { Link } from '@toucanline/wire';
import type { StoreContact } from './StoreContact.js';

const pollMs = 1000;
/**
 * While the owner gives signs of life, a candidate asks the store only this often: with many schedulers
 * and shards these reads would be most of the store's load. Two missing heartbeats end the rest, before
 * the claim of a dead owner expires.
 */
const restMs = 4000;
const ownerSilenceMs = 2000;
/**
 * How long a claim that expired is left to an owner that gives signs of life, and how often it is looked at
 * meanwhile. The owner may have been without the store, like this process; it tries to claim its shard again
 * after 1.3 s at the latest, and only it knows the results that the journal missed.
 */
const renewalGraceMs = 1500;
const vacancyPollMs = 250;
/** Interval of attempts while the owner hands the shard over, and how long they go on. */
const handoverPollMs = 20;
const handoverWaitMs = 3000;
/** Silence of an owner after which a candidate may act without the store. */
const silenceMs = 4000;
/**
 * Time for which a candidate leaves the attempt without the store to the one with the first name: candidates
 * that try at the same time split the workers, and each makes the others stand down by a higher epoch.
 */
const laterCandidateMs = 20_000;

/** What the timing works with. */
interface TimingParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly router: Router;
  readonly shard: string;
  /** Name of this process. */
  readonly process: string;
  /** Lists open links to other schedulers of the data centre. */
  readonly listPeers: () => readonly Link[];
  readonly contact: StoreContact;
}

/** Decides when a candidate tries to claim its shard, from the answers of the store and the signs of life of peers. */
export class ClaimTiming {
  readonly #parts: TimingParts;
  /** Local monotonic time when a peer handed the whole state over, in milliseconds. */
  #handedAt = -Infinity;
  /** Local monotonic time when this process handed the whole state to a peer, in milliseconds. */
  #givenAt = -Infinity;

  /** @param parts - what the timing works with */
  public constructor(parts: TimingParts) {
    this.#parts = parts;
  }

  /** Time since a peer handed the whole state over, in milliseconds. */
  public get handedMs(): number {
    return this.#parts.clock.now() - this.#handedAt;
  }

  /** Whether nothing has to be tried: a peer owns the shard for all that is known, or is about to take it. */
  public get mayRest(): boolean {
    const { clock, contact, router, shard } = this.#parts;
    if (clock.now() - this.#givenAt < handoverWaitMs) return true;
    if (this.#expectsClaim || contact.vacantMs !== undefined) return false;
    return contact.isRecent(restMs) && router.hasLiveOwner(shard, ownerSilenceMs);
  }

  /** Whether a claim without a holder is left to its last holder for now. */
  public get isReserved(): boolean {
    return this.#hasLivePeer && (this.#parts.contact.vacantMs ?? 0) < renewalGraceMs;
  }

  /** Whether it is the turn of this process to own the shard without the store. */
  public get mayTryWithoutStore(): boolean {
    const waitMs = this.#isFirstCandidate ? 0 : laterCandidateMs;
    return this.#parts.contact.isDown(waitMs) && !this.seesOwner;
  }

  /** Whether another process told a short while ago that it owns the shard. */
  public get seesOwner(): boolean {
    const { router, shard, process } = this.#parts;
    const load = router.findLoad(shard, silenceMs);
    return load !== undefined && load.owner !== process;
  }

  /** Notes that a peer handed the whole state over. */
  public noteHanded(): void {
    this.#handedAt = this.#parts.clock.now();
  }

  /** Notes that this process handed the whole state to a peer, which has to claim the shard first. */
  public noteGiven(): void {
    this.#givenAt = this.#parts.clock.now();
  }

  /**
   * Chooses the pause before the next attempt.
   *
   * @returns its length in milliseconds
   */
  public choosePauseMs(): number {
    if (this.#expectsClaim) return handoverPollMs;
    const isReserved = this.#parts.contact.vacantMs !== undefined && this.#hasLivePeer;
    return isReserved ? vacancyPollMs : pollMs * (0.5 + this.#parts.random.next() / 2);
  }

  /** Whether the former owner is about to release its claim for this process. */
  get #expectsClaim(): boolean {
    return this.handedMs < handoverWaitMs;
  }

  /**
   * Whether another process owns the shard by its own signs of life. They may be as old as on a link that is not
   * replaced yet: heartbeats are left out after other traffic, so a stall of half a second reaches 2 s.
   */
  get #hasLivePeer(): boolean {
    const { router, shard, process } = this.#parts;
    const isOwn = router.findLoad(shard)?.owner === process;
    return !isOwn && router.hasLiveOwner(shard, periods.linkTimeoutMs);
  }

  /** Whether no scheduler of the data centre that this process has a link to comes before it by name. */
  get #isFirstCandidate(): boolean {
    const { process, listPeers } = this.#parts;
    return listPeers().every((link) => process < (link.peer?.process ?? ''));
  }
}
