import { createHash, randomBytes } from 'node:crypto';
import { Args, Flags } from '@oclif/core';
import { validators, type KeyView } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';

const keyBytes = 32;

/** Command `toucanline key grant`. */
export class KeyGrantCommand extends BaseCommand {
  public static override readonly summary = 'Grant an API key and show it once.';

  public static override readonly description =
    'The key consists of 256 random bits. Only its SHA-256 hash is sent to the system, so a lost ' +
    'key cannot be shown again: withdraw it and grant another one.';

  public static override readonly examples = [
    'toucanline key grant planning-1 --team planning --role submit',
    'toucanline key grant night-shift --role read --role change',
  ];

  public static override readonly args = {
    id: Args.string({ description: 'ID of the key.', required: true }),
  };

  public static override readonly flags = {
    team: Flags.string({ summary: 'Team for which the key may submit requests.' }),
    role: Flags.string({
      summary: 'Role that the key permits. Repeat the flag to permit several roles.',
      options: ['submit', 'read', 'change', 'promote'] as const,
      multiple: true,
      required: true,
    }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<{ readonly key: string; readonly granted: KeyView }> {
    const { args, flags } = await this.parse(KeyGrantCommand);
    const { client } = this.openEnvironment(flags);
    const key = randomBytes(keyBytes).toString('hex');
    const hash = createHash('sha256').update(key).digest('hex');
    const { team, role: roles } = flags;
    const granted = this.unwrapOrFail(
      await client.send({
        method: 'POST',
        path: '/v1/keys',
        body: { id: args.id, hash, roles, ...(team === undefined ? {} : { team }) },
        isRepeatable: true,
        validator: validators.KeyView,
      }),
    );
    this.log(
      `Granted key ${granted.id}. Store the following line in a safe place; it is not shown again:`,
    );
    this.log(key);
    return { key, granted };
  }
}
