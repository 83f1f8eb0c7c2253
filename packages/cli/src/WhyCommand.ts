import { Args } from '@oclif/core';
import { explainRequest } from '@toucanline/core/explainRequest';
import { validators } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { readEvents } from './readEvents.js';
import { readSiteStatus } from './readSiteStatus.js';

/** `toucanline why`. */
export class WhyCommand extends BaseCommand {
  public static override readonly summary = 'Explains why a request waits or how it ended.';

  public static override readonly examples = ['toucanline why s1.0123456789abcdef'];

  public static override readonly args = {
    request: Args.string({ description: 'Identifier of the request.', required: true }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<{ readonly explanation: readonly string[] }> {
    const { args, flags } = await this.parse(WhyCommand);
    const { client } = this.open(flags);
    const { events } = this.unwrapOrFail(await readEvents(client, 0, args.request));
    const answer = await client.send({
      method: 'GET',
      path: `/v1/requests/${encodeURIComponent(args.request)}`,
      mayRepeat: true,
      validator: validators.RequestView,
    });
    if (answer.isErr()) {
      const { problem } = answer.error;
      const last = events.at(-1);
      // A refused or unknown request is answered as a problem, which is the explanation itself.
      if (problem === undefined || last === undefined) return this.fail(answer.error);
      const explanation = [
        `Request ${args.request} ended as ${problem.title}, ran: ${problem.ran}.`,
        problem.detail,
        `Last event: ${last.name} at ${last.process}${last.detail ? `: ${last.detail}` : ''}.`,
      ];
      for (const line of explanation) this.log(line);
      return { explanation };
    }
    const { processes } = this.unwrapOrFail(await readSiteStatus(client));
    const name = args.request.split('.')[0];
    const shard = processes
      .flatMap((process) => process.shards)
      .find((status) => status.shard === name);
    const explanation = explainRequest(answer.value, shard, events);
    for (const line of explanation) this.log(line);
    return { explanation };
  }
}
