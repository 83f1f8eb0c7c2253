import { Args, Flags } from '@oclif/core';
import { validators, type KeyView } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';

/** Command `toucanline key withdraw`. */
export class KeyWithdrawCommand extends BaseCommand {
  public static override readonly summary = 'Withdraw an API key.';

  public static override readonly examples = ['toucanline key withdraw planning-1 --yes'];

  public static override readonly args = {
    id: Args.string({ description: 'ID of the key.', required: true }),
  };

  public static override readonly flags = {
    yes: Flags.boolean({
      summary: 'Withdraw the key. Without this flag, only the effect is shown.',
    }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<KeyView> {
    const { args, flags } = await this.parse(KeyWithdrawCommand);
    const { client } = this.openEnvironment(flags);
    this.log(
      `Requests of key ${args.id} that still wait are answered as not run; new ones are refused.`,
    );
    this.log('Running work continues. A data centre that is cut off may accept the key for up to');
    this.log(
      'keyGraceSeconds of the queue. See which processes have not confirmed: toucanline config status.',
    );
    this.requireConfirmation(flags.yes);
    const key = this.unwrapOrFail(
      await client.send({
        method: 'DELETE',
        path: `/v1/keys/${encodeURIComponent(args.id)}`,
        isRepeatable: true,
        validator: validators.KeyView,
      }),
    );
    this.log(`Withdrew key ${key.id}.`);
    return key;
  }
}
