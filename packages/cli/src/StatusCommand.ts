import { Args } from '@oclif/core';
import { validators, type RequestView } from '@toucanline/schema';
import { RequestCommand } from './RequestCommand.js';

/** Command `toucanline status`. */
export class StatusCommand extends RequestCommand {
  public static override readonly summary = 'Show the state of a request.';

  public static override readonly examples = ['toucanline status s1.0123456789abcdef'];

  public static override readonly args = {
    request: Args.string({ description: 'ID of the request.', required: true }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<RequestView> {
    const { args, flags } = await this.parse(StatusCommand);
    const view = this.unwrapOrFail(
      await this.openEnvironment(flags).client.send({
        method: 'GET',
        path: `/v1/requests/${encodeURIComponent(args.request)}`,

        isRepeatable: true,
        validator: validators.RequestView,
      }),
    );
    return this.showRequest(view);
  }
}
