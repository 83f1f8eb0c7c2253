import { Args } from '@oclif/core';
import { BaseCommand } from './BaseCommand.js';
import { readDocument } from './readDocument.js';

/** Command `toucanline config check`. */
export class ConfigCheckCommand extends BaseCommand {
  public static override readonly summary =
    'Validate a configuration document offline and list all errors. Exits with 2 if it is invalid.';

  public static override readonly examples = ['toucanline config check site.toml'];

  public static override readonly args = {
    file: Args.string({ description: 'Configuration document (TOML).', required: true }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<{ readonly valid: true }> {
    const { args } = await this.parse(ConfigCheckCommand);
    this.unwrapOrFail(readDocument(args.file));
    this.log(`${args.file} is valid.`);
    return { valid: true };
  }
}
