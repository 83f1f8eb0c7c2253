import { Args, Flags } from '@oclif/core';
import { validators, type RequestView } from '@toucanline/schema';
import { RequestCommand } from './RequestCommand.js';

/** Time for the transport of a call beyond its wait, in milliseconds. */
const transportMarginMs = 8000;

/** `toucanline wait`. */
export class WaitCommand extends RequestCommand {
  public static override readonly summary = 'Waits until a request is answered.';

  public static override readonly examples = ['toucanline wait s1.0123456789abcdef'];

  public static override readonly args = {
    request: Args.string({ description: 'Identifier of the request.', required: true }),
  };

  public static override readonly flags = {
    wait: Flags.integer({ summary: 'Longest wait in seconds.', default: 30, min: 0, max: 30 }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<RequestView> {
    const { args, flags } = await this.parse(WaitCommand);
    const view = this.unwrapOrFail(
      await this.open(flags).client.send({
        method: 'GET',
        path: `/v1/requests/${encodeURIComponent(args.request)}?wait=${flags.wait}`,
        timeoutMs: flags.wait * 1000 + transportMarginMs,
        mayRepeat: true,
        validator: validators.RequestView,
      }),
    );
    return this.showRequest(view);
  }
}
