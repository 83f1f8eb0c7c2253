import type { Fleet } from './Fleet.js';
import type { ShardContext } from './ShardContext.js';

/**
 * Majority rule for owners without a confirmed store lease: new work starts only while more than half of
 * the shard's known workers are leased to this owner.
 *
 * Two owners cannot both pass the rule at the same time. A worker accepts a provisional epoch only after
 * the lease of its former owner has ended on the worker's clock, so it has one lease holder at a time. The
 * holder compares `leaseUntil` with the upper bound of the worker's clock, which includes 1% drift, and
 * therefore stops counting a worker before the worker accepts another owner. A worker that restarted has
 * forgotten its lease; it counts for nobody until its clock has passed a lease period, when each lease
 * from before the restart has ended. Two sets of more than half of the same workers have a worker in
 * common, and that worker has one holder. If peers try at the same time and split the workers, neither has
 * a majority: each gives up after a while and tries again after a random delay.
 *
 * The argument needs both owners to count the same workers. Host lists that differ by one worker still
 * force a common worker; with a larger difference two owners can both pass. Then fencing still keeps each
 * worker to one owner, and a limit of a team holds only while the lists agree.
 */
export class LeaseMajority {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;

  /**
   * @param context - what the parts of the shard share
   * @param fleet - workers of the shard
   */
  public constructor(context: ShardContext, fleet: Fleet) {
    this.#context = context;
    this.#fleet = fleet;
  }

  /**
   * Checks the rule at this moment.
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
