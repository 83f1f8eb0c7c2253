import type { ShardLoad, ShardStatus } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import type { Policy } from './Policy.js';
import type { Recovery } from './Recovery.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import { summariseWork } from './summariseWork.js';
import type { TeamLedger } from './TeamLedger.js';
import type { WaitingQueue } from './WaitingQueue.js';
import { zeroResources } from './zeroResources.js';

/** Components of the shard that are described. */
interface DescriptionDependencies {
  readonly fleet: Fleet;
  readonly table: RequestTable;
  readonly queue: WaitingQueue;
  readonly ledger: TeamLedger;
  readonly recovery: Recovery;
  readonly readPolicy: () => Policy;
}

/** Describes a shard for peers and operators. */
export class ShardDescription {
  readonly #context: ShardContext;
  readonly #address: string;
  readonly #dependencies: DescriptionDependencies;

  /**
   * @param context - identity and services that the components of the shard share
   * @param address - link address of the owner, sent to peers
   * @param dependencies - components to describe
   */
  public constructor(
    context: ShardContext,
    address: string,
    dependencies: DescriptionDependencies,
  ) {
    this.#context = context;
    this.#address = address;
    this.#dependencies = dependencies;
  }

  /**
   * Describes the load of the shard for peers.
   *
   * @returns the load
   */
  public describeLoad(): ShardLoad {
    const { shard, dataCentre, epoch, owner } = this.#context;
    return {
      shard,
      dataCentre,
      epoch,
      owner,
      address: this.#address,
      waiting: this.#dependencies.queue.size,
      free: this.#dependencies.fleet.free,
      room: this.#dependencies.fleet.totalCapacity,
      use: Object.fromEntries(this.#dependencies.ledger.use),
      demand: Object.fromEntries(this.#dependencies.queue.demand),
    };
  }

  /**
   * Describes the status of the shard for operators.
   *
   * @returns the status
   */
  public describeStatus(): ShardStatus {
    const { shard, dataCentre, epoch, owner, provisional } = this.#context;
    const workers = this.#dependencies.fleet.workers.map((worker) => worker.describe());
    const names = new Set([
      ...this.#dependencies.ledger.use.keys(),
      ...Object.keys(this.#dependencies.readPolicy().document.teams),
    ]);
    const teams = [...names].map((team) => {
      const allotment = this.#dependencies.ledger.readAllotment(team);
      return {
        team,
        use: this.#dependencies.ledger.readUse(team),
        demand: this.#dependencies.queue.demand.get(team) ?? zeroResources,
        waiting: this.#dependencies.queue.countRequests(team),
        ...(allotment === undefined ? {} : { allotment }),
      };
    });
    return {
      shard,
      dataCentre,
      epoch,
      owner,
      provisional,
      recovering: !this.#dependencies.recovery.isComplete,
      waiting: this.#dependencies.queue.size,
      running: workers.reduce((sum, { tasks }) => sum + tasks, 0),
      workers,
      teams,
      work: summariseWork(this.#dependencies.table.list()),
    };
  }
}
