import type { Clock, Policy, Router } from '@toucanline/core';

/** Longest wait for an owner after the start of the entry, in milliseconds: a link opens and delivers a load notice within about a second. */
const maxWaitMs = 3000;
/** Time since its last message up to which an owner counts as alive, in milliseconds. */
const maxSilenceMs = 5000;

/**
 * Determines when an entry that has just started knows the owner of a shard in its own data centre. Without a known owner the
 * entry would route its first requests to other data centres.
 */
export class OwnerDiscovery {
  readonly #clock: Clock;
  readonly #router: Pick<Router, 'hasLiveOwner'>;
  readonly #dataCentre: string;
  readonly #startedAt: number;
  #isComplete = false;

  /**
   * @param clock - source of time
   * @param router - tells which shards have a live owner
   * @param dataCentre - data centre of the entry
   */
  public constructor(clock: Clock, router: Pick<Router, 'hasLiveOwner'>, dataCentre: string) {
    this.#clock = clock;
    this.#router = router;
    this.#dataCentre = dataCentre;
    this.#startedAt = clock.now();
  }

  /**
   * Checks whether the discovery is complete. It stays complete from then on: an entry continues to serve when its
   * own data centre loses its owners.
   *
   * @param policy - policy in effect
   * @returns true if an owner is known, the data centre has no shard, or the longest wait has passed
   */
  public isComplete(policy: Policy): boolean {
    const shards = policy.listShards(this.#dataCentre);
    const isLate = this.#clock.now() - this.#startedAt >= maxWaitMs;
    const hasOwner = shards.some((shard) => this.#router.hasLiveOwner(shard, maxSilenceMs));
    this.#isComplete ||= shards.length === 0 || isLate || hasOwner;
    return this.#isComplete;
  }
}
