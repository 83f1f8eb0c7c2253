import { Args } from '@oclif/core';
import { BaseCommand } from './BaseCommand.js';
import { readDocument } from './readDocument.js';

/** `toucanline config check`. */
export class ConfigCheckCommand extends BaseCommand {
  public static override readonly summary =
    'Checks a configuration document offline and lists every error. Exit code 2 if there is one.';

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
