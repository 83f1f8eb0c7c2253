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

/** Parts of the shard that are described. */
interface DescribedParts {
  readonly fleet: Fleet;
  readonly table: RequestTable;
  readonly queue: WaitingQueue;
  readonly ledger: TeamLedger;
  readonly recovery: Recovery;
  readonly readPolicy: () => Policy;
}

/** Describes a shard to peers and operators. */
export class ShardDescription {
  readonly #context: ShardContext;
  readonly #address: string;
  readonly #parts: DescribedParts;

  /**
   * @param context - what the parts of the shard share
   * @param address - link address of the owner, told to peers
   * @param parts - the parts to describe
   */
  public constructor(context: ShardContext, address: string, parts: DescribedParts) {
    this.#context = context;
    this.#address = address;
    this.#parts = parts;
  }

  /**
   * Describes the shard to peers.
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
      waiting: this.#parts.queue.size,
      free: this.#parts.fleet.free,
      room: this.#parts.fleet.totalCapacity,
      use: Object.fromEntries(this.#parts.ledger.use),
      demand: Object.fromEntries(this.#parts.queue.demand),
    };
  }

  /**
   * Describes the shard to operators.
   *
   * @returns the status
   */
  public describeStatus(): ShardStatus {
    const { shard, dataCentre, epoch, owner, provisional } = this.#context;
    const workers = this.#parts.fleet.workers.map((worker) => worker.describe());
    const names = new Set([
      ...this.#parts.ledger.use.keys(),
      ...Object.keys(this.#parts.readPolicy().document.teams),
    ]);
    const teams = [...names].map((team) => {
      const allotment = this.#parts.ledger.readAllotment(team);
      return {
        team,
        use: this.#parts.ledger.readUse(team),
        demand: this.#parts.queue.demand.get(team) ?? zeroResources,
        waiting: this.#parts.queue.countRequests(team),
        ...(allotment === undefined ? {} : { allotment }),
      };
    });
    return {
      shard,
      dataCentre,
      epoch,
      owner,
      provisional,
      recovering: !this.#parts.recovery.isComplete,
      waiting: this.#parts.queue.size,
      running: workers.reduce((sum, { tasks }) => sum + tasks, 0),
      workers,
      teams,
      work: summariseWork(this.#parts.table.list()),
    };
  }
}
