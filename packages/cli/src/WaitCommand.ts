import { Args, Flags } from '@oclif/core';
import { validators, type RequestView } from '@toucanline/schema';
import { RequestCommand } from './RequestCommand.js';

/** Time that a call may take in addition to its wait, in milliseconds. */
const transportMarginMs = 8000;

/** Command `toucanline wait`. */
export class WaitCommand extends RequestCommand {
  public static override readonly summary = 'Wait for a request to complete.';

  public static override readonly examples = ['toucanline wait s1.0123456789abcdef'];

  public static override readonly args = {
    request: Args.string({ description: 'ID of the request.', required: true }),
  };

  public static override readonly flags = {
    wait: Flags.integer({ summary: 'Maximum wait in seconds.', default: 30, min: 0, max: 30 }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<RequestView> {
    const { args, flags } = await this.parse(WaitCommand);
    const view = this.unwrapOrFail(
      await this.openEnvironment(flags).client.send({
        method: 'GET',
        path: `/v1/requests/${encodeURIComponent(args.request)}?wait=${flags.wait}`,
        timeoutMs: flags.wait * 1000 + transportMarginMs,
        isRepeatable: true,
        validator: validators.RequestView,
      }),
    );
    return this.showRequest(view);
  }
}
