import type { Clock, Policy, Router } from '@toucanline/core';

/** Longest wait of a new entry, in milliseconds: a link opens and tells the load within about a second. */
const maxWaitMs = 3000;
/** Age up to which a sign of life counts, in milliseconds. */
const maxSilenceMs = 5000;

/**
 * Whether an entry that has just started knows an owner in its own data centre. Without one it would route its
 * first requests to other data centres.
 */
export class OwnerDiscovery {
  readonly #clock: Clock;
  readonly #router: Pick<Router, 'hasLiveOwner'>;
  readonly #dataCentre: string;
  readonly #startedAt: number;
  #isComplete = false;

  /**
   * @param clock - source of time
   * @param router - knows the owners
   * @param dataCentre - data centre of the entry
   */
  public constructor(clock: Clock, router: Pick<Router, 'hasLiveOwner'>, dataCentre: string) {
    this.#clock = clock;
    this.#router = router;
    this.#dataCentre = dataCentre;
    this.#startedAt = clock.now();
  }

  /**
   * Checks whether the wait is over. Once it is, it stays so: an entry goes on to serve when its own data centre
   * loses its owners.
   *
   * @param policy - policy in effect
   * @returns true if an owner is known, none can be, or the longest wait has passed
   */
  public isComplete(policy: Policy): boolean {
    const shards = policy.listShards(this.#dataCentre);
    const isLate = this.#clock.now() - this.#startedAt >= maxWaitMs;
    const hasOwner = shards.some((shard) => this.#router.hasLiveOwner(shard, maxSilenceMs));
    this.#isComplete ||= shards.length === 0 || isLate || hasOwner;
    return this.#isComplete;
  }
}
