import { Args, Flags } from '@oclif/core';
import { validators, type DrainState } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { exitCodes } from './exitCodes.js';
import { readSiteStatus } from './readSiteStatus.js';

/** Command `toucanline drain`. */
export class DrainCommand extends BaseCommand {
  public static override readonly summary =
    'Drain a worker, so that it takes no new work, or end its drain.';

  public static override readonly examples = [
    'toucanline drain w17 --yes',
    'toucanline drain w17 --end --yes',
  ];

  public static override readonly args = {
    worker: Args.string({ description: 'Name of the worker.', required: true }),
  };

  public static override readonly flags = {
    end: Flags.boolean({ summary: 'End the drain, so that the worker takes new work again.' }),
    yes: Flags.boolean({
      summary: 'Apply the change. Without this flag, only its effect is shown.',
    }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<DrainState> {
    const { args, flags } = await this.parse(DrainCommand);
    const { client } = this.openEnvironment(flags);
    const { processes } = this.unwrapOrFail(await readSiteStatus(client));
    const workers = processes.flatMap(({ shards }) => shards.flatMap((shard) => shard.workers));
    const workerStatus = workers.find(({ worker }) => worker === args.worker);
    if (workerStatus === undefined) {
      return this.fail({
        message: `no shard has a worker named ${args.worker}`,
        next: 'List the workers: toucanline workers.',
        exitCode: exitCodes.refused,
      });
    }
    const runningTasks = `${workerStatus.tasks} running ${workerStatus.tasks === 1 ? 'task continues' : 'tasks continue'}`;
    this.log(
      flags.end
        ? `Ending the drain: worker ${args.worker} takes new work again.`
        : `Draining: worker ${args.worker} takes no new work; its ${runningTasks}. End the drain with --end.`,
    );
    this.requireConfirmation(flags.yes);
    const state = this.unwrapOrFail(
      await client.send({
        method: flags.end ? 'DELETE' : 'POST',
        path: `/v1/workers/${encodeURIComponent(args.worker)}/drain`,
        isRepeatable: true,
        validator: validators.DrainState,
      }),
    );
    if (!state.durable) {
      this.log(
        'The store does not answer. The change is lost if the owner of the shard fails before the store answers again.',
      );
    }
    this.log('Done. Check which tasks still run there: toucanline workers.');
    return state;
  }
}
