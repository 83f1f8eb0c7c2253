import { Args } from '@oclif/core';
import { explainRequest } from '@toucanline/core/explainRequest';
import { validators } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { readEvents } from './readEvents.js';
import { readSiteStatus } from './readSiteStatus.js';

/** Command `toucanline why`. */
export class WhyCommand extends BaseCommand {
  public static override readonly summary = 'Explain why a request is waiting or how it ended.';

  public static override readonly examples = ['toucanline why s1.0123456789abcdef'];

  public static override readonly args = {
    request: Args.string({ description: 'ID of the request.', required: true }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<{ readonly explanation: readonly string[] }> {
    const { args, flags } = await this.parse(WhyCommand);
    const { client } = this.openEnvironment(flags);
    const { events } = this.unwrapOrFail(await readEvents(client, 0, args.request));
    const response = await client.send({
      method: 'GET',
      path: `/v1/requests/${encodeURIComponent(args.request)}`,
      isRepeatable: true,
      validator: validators.RequestView,
    });
    if (response.isErr()) {
      const { problem } = response.error;
      const lastEvent = events.at(-1);
      // The entry answers a refused or unknown request with an error, which is itself the explanation.
      if (problem === undefined || lastEvent === undefined) return this.fail(response.error);
      const explanation = [
        `Request ${args.request} ended with ${problem.title}; ran: ${problem.ran}.`,
        problem.detail,
        `Last event: ${lastEvent.name} at ${lastEvent.process}${lastEvent.detail ? `: ${lastEvent.detail}` : ''}.`,
      ];
      for (const line of explanation) this.log(line);
      return { explanation };
    }
    const { processes } = this.unwrapOrFail(await readSiteStatus(client));
    const shardName = args.request.split('.')[0];
    const shard = processes
      .flatMap((process) => process.shards)
      .find((status) => status.shard === shardName);
    const explanation = explainRequest(response.value, shard, events);
    for (const line of explanation) this.log(line);
    return { explanation };
  }
}
