import type { Fleet } from './Fleet.js';
import type { ShardContext } from './ShardContext.js';

/**
 * Majority rule for owners without a confirmed store lease: they start new work only while they hold the leases
 * of more than half of the known workers of the shard.
 *
 * Two owners never hold a majority at the same time. A worker accepts a provisional epoch only after the lease
 * of its previous owner has expired on the worker's clock, so it has one lease holder at a time. The holder
 * compares `leaseUntil` with the upper bound of the worker's clock, which includes 1% drift, and therefore stops
 * counting a worker before the worker accepts another owner. A worker that restarted has lost its lease; it
 * counts for no owner until its clock has passed a lease period, when each lease from before the restart has
 * expired. Two majorities of the same set of workers have a worker in common, and that worker has one holder. If
 * peers compete and split the workers, none has a majority; each gives up after a while and tries again after a
 * random delay.
 *
 * Both owners have to count the same workers. If their host lists differ by one worker, two majorities still
 * overlap; with a larger difference, both owners can have a majority. Fencing then still binds each worker to one
 * owner, but limits of teams hold only while the lists agree.
 */
export class LeaseMajority {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;

  /**
   * @param context - identity and services that the components of the shard share
   * @param fleet - workers of the shard
   */
  public constructor(context: ShardContext, fleet: Fleet) {
    this.#context = context;
    this.#fleet = fleet;
  }

  /**
   * Checks whether this owner has a majority at present.
   *
   * @returns true if this owner holds the leases of more than half of the known workers
   */
  public isHeld(): boolean {
    const { clock, epoch, owner } = this.#context;
    const now = clock.now();
    const { workers } = this.#fleet;
    const held = workers.filter((worker) => worker.contact.isLeasedTo(now, epoch, owner));
    return held.length * 2 > workers.length;
  }
}
