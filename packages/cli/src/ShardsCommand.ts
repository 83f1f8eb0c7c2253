import type { ShardStatus } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { formatTable } from './formatTable.js';
import { readSiteStatus } from './readSiteStatus.js';

/** Command `toucanline shards`. */
export class ShardsCommand extends BaseCommand {
  public static override readonly summary = 'List the shards with their owner, epoch and work.';

  public static override readonly examples = ['toucanline shards --environment production --json'];

  /** {@inheritDoc} */
  public override async run(): Promise<readonly ShardStatus[]> {
    const { flags } = await this.parse(ShardsCommand);
    const { client } = this.openEnvironment(flags);
    const { processes, unreachable } = this.unwrapOrFail(await readSiteStatus(client));
    const shards = processes.flatMap((process) => process.shards);
    const rows = shards.map((shard) => [
      shard.dataCentre,
      shard.shard,
      shard.owner,
      String(shard.epoch),
      String(shard.workers.length),
      String(shard.waiting),
      String(shard.running),
      [shard.recovering ? 'recovering' : '', shard.provisional ? 'provisional' : '']
        .filter(Boolean)
        .join(', '),
    ]);
    this.log(
      formatTable([
        ['DATA CENTRE', 'SHARD', 'OWNER', 'EPOCH', 'WORKERS', 'WAITING', 'RUNNING TASKS', ''],
        ...rows,
      ]),
    );
    for (const address of unreachable) this.log(`Unreachable: ${address}`);
    return shards;
  }
}
