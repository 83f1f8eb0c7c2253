import { Args } from '@oclif/core';
import { validators, type RequestView } from '@toucanline/schema';
import { RequestCommand } from './RequestCommand.js';

/** Command `toucanline cancel`. */
export class CancelCommand extends RequestCommand {
  public static override readonly summary = 'Cancel a request.';

  public static override readonly examples = ['toucanline cancel s1.0123456789abcdef'];

  public static override readonly args = {
    request: Args.string({ description: 'ID of the request.', required: true }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<RequestView> {
    const { args, flags } = await this.parse(CancelCommand);
    const view = this.unwrapOrFail(
      await this.openEnvironment(flags).client.send({
        method: 'DELETE',
        path: `/v1/requests/${encodeURIComponent(args.request)}`,

        isRepeatable: true,
        validator: validators.RequestView,
      }),
    );
    return this.showRequest(view);
  }
}
