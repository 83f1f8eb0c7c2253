import { Args } from '@oclif/core';
import { ConfigChangeCommand } from './ConfigChangeCommand.js';
import { readDocument } from './readDocument.js';

/** Command `toucanline config try`. */
export class ConfigTryCommand extends ConfigChangeCommand {
  public static override readonly summary =
    'Apply a configuration document to the trial environment.';

  public static override readonly examples = [
    'toucanline config try site.toml --settings ops.toml',
    'toucanline config try site.toml --settings ops.toml --yes --note "more room for broadcast"',
  ];

  public static override readonly args = {
    file: Args.string({ description: 'Configuration document (TOML).', required: true }),
  };

  public static override readonly flags = { ...ConfigChangeCommand.changeFlags };

  /** {@inheritDoc} */
  public override async run(): Promise<Awaited<ReturnType<ConfigChangeCommand['applyChange']>>> {
    const { args, flags } = await this.parse(ConfigTryCommand);
    const { text, document } = this.unwrapOrFail(readDocument(args.file));
    const { yes, note, 'if-revision': ifRevision } = flags;
    return this.applyChange(this.openEnvironmentByRole(flags, 'trial'), {
      text,
      document,
      yes,
      note,
      ifRevision,
    });
  }
}
