import { createHash, randomBytes } from 'node:crypto';
import { Args, Flags } from '@oclif/core';
import { validators, type KeyView } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';

const keyBytes = 32;

/** `toucanline key grant`. */
export class KeyGrantCommand extends BaseCommand {
  public static override readonly summary = 'Grants an API key and shows it once.';

  public static override readonly description =
    'The key is 256 random bits. Only its SHA-256 hash leaves this program, so a lost key cannot be ' +
    'shown again: withdraw it and grant another one.';

  public static override readonly examples = [
    'toucanline key grant planning-1 --team planning --role submit',
    'toucanline key grant night-shift --role read --role change',
  ];

  public static override readonly args = {
    id: Args.string({ description: 'Identifier of the key.', required: true }),
  };

  public static override readonly flags = {
    team: Flags.string({ summary: 'Team whose work the key may submit.' }),
    role: Flags.string({
      summary: 'What the key permits; may be given more than once.',
      options: ['submit', 'read', 'change', 'promote'] as const,
      multiple: true,
      required: true,
    }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<{ readonly key: string; readonly granted: KeyView }> {
    const { args, flags } = await this.parse(KeyGrantCommand);
    const { client } = this.open(flags);
    const key = randomBytes(keyBytes).toString('hex');
    const hash = createHash('sha256').update(key).digest('hex');
    const { team, role: roles } = flags;
    const granted = this.unwrapOrFail(
      await client.send({
        method: 'POST',
        path: '/v1/keys',
        body: { id: args.id, hash, roles, ...(team === undefined ? {} : { team }) },
        mayRepeat: true,
        validator: validators.KeyView,
      }),
    );
    this.log(`Key ${granted.id} is granted. Keep this line, it is not shown again:`);
    this.log(key);
    return { key, granted };
  }
}
