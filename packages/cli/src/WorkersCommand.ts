import type { ShardStatus } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { formatTable } from './formatTable.js';
import { readSiteStatus } from './readSiteStatus.js';
import { describeResources } from '@toucanline/core/describeResources';

/** Command `toucanline workers`. */
export class WorkersCommand extends BaseCommand {
  public static override readonly summary = 'List the workers with their state, capacity and use.';

  public static override readonly examples = ['toucanline workers --environment production --json'];

  /** {@inheritDoc} */
  public override async run(): Promise<readonly ShardStatus[]> {
    const { flags } = await this.parse(WorkersCommand);
    const { client } = this.openEnvironment(flags);
    const { processes, unreachable } = this.unwrapOrFail(await readSiteStatus(client));
    const shards = processes.flatMap((process) => process.shards);
    const rows = shards.flatMap(({ shard, workers }) =>
      workers.map((worker) => [
        shard,
        worker.worker,
        worker.rack,
        worker.quarantined ? `${worker.state}, in quarantine` : worker.state,
        String(worker.tasks),
        describeResources(worker.allocated),
        describeResources(worker.room),
      ]),
    );
    this.log(
      formatTable([['SHARD', 'WORKER', 'RACK', 'STATE', 'TASKS', 'ALLOCATED', 'ROOM'], ...rows]),
    );
    for (const address of unreachable) this.log(`Unreachable: ${address}`);
    return shards;
  }
}
