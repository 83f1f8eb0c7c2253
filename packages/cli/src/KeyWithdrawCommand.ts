import { Args, Flags } from '@oclif/core';
import { validators, type KeyView } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';

/** `toucanline key withdraw`. */
export class KeyWithdrawCommand extends BaseCommand {
  public static override readonly summary = 'Withdraws an API key.';

  public static override readonly examples = ['toucanline key withdraw planning-1 --yes'];

  public static override readonly args = {
    id: Args.string({ description: 'Identifier of the key.', required: true }),
  };

  public static override readonly flags = {
    yes: Flags.boolean({ summary: 'Withdraw; without it only the effect is shown.' }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<KeyView> {
    const { args, flags } = await this.parse(KeyWithdrawCommand);
    const { client } = this.open(flags);
    this.log(
      `Waiting requests of the key ${args.id} are answered as not run, new ones are refused.`,
    );
    this.log('Running work goes on. A data centre that is cut off may accept the key for');
    this.log('keyGraceSeconds of the queue; toucanline config status shows who has not confirmed.');
    this.requireConfirmation(flags.yes);
    const key = this.unwrapOrFail(
      await client.send({
        method: 'DELETE',
        path: `/v1/keys/${encodeURIComponent(args.id)}`,
        mayRepeat: true,
        validator: validators.KeyView,
      }),
    );
    this.log(`Key ${key.id} is withdrawn.`);
    return key;
  }
}
