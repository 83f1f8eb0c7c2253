import { Args, Flags } from '@oclif/core';
import { validators, type DrainState } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { exitCodes } from './exitCodes.js';
import { readSiteStatus } from './readSiteStatus.js';

/** `toucanline drain`. */
export class DrainCommand extends BaseCommand {
  public static override readonly summary = 'Lets a worker take no new work, or take it again.';

  public static override readonly examples = [
    'toucanline drain w17 --yes',
    'toucanline drain w17 --end --yes',
  ];

  public static override readonly args = {
    worker: Args.string({ description: 'Name of the worker.', required: true }),
  };

  public static override readonly flags = {
    end: Flags.boolean({ summary: 'End the drain.' }),
    yes: Flags.boolean({ summary: 'Apply; without it only the effect is shown.' }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<DrainState> {
    const { args, flags } = await this.parse(DrainCommand);
    const { client } = this.open(flags);
    const { processes } = this.unwrapOrFail(await readSiteStatus(client));
    const workers = processes.flatMap(({ shards }) => shards.flatMap((shard) => shard.workers));
    const found = workers.find(({ worker }) => worker === args.worker);
    if (found === undefined) {
      return this.fail({
        message: `no owner of a shard knows the worker ${args.worker}`,
        next: 'Look at the workers: toucanline workers.',
        exit: exitCodes.refused,
      });
    }
    const tasks = `${found.tasks} running ${found.tasks === 1 ? 'task goes' : 'tasks go'} on`;
    this.log(
      flags.end
        ? `Worker ${args.worker} takes new work again.`
        : `Worker ${args.worker} takes no new work; its ${tasks}. A drain ends with --end.`,
    );
    this.requireConfirmation(flags.yes);
    const state = this.unwrapOrFail(
      await client.send({
        method: flags.end ? 'DELETE' : 'POST',
        path: `/v1/workers/${encodeURIComponent(args.worker)}/drain`,
        mayRepeat: true,
        validator: validators.DrainState,
      }),
    );
    if (!state.durable) {
      this.log(
        'The store does not answer: the change is lost if the owner of the shard fails before it does.',
      );
    }
    this.log('Done. See what still runs there: toucanline workers.');
    return state;
  }
}
