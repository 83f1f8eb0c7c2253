import { Args } from '@oclif/core';
import { parseDocument } from '@toucanline/core/parseDocument';
import { previewChange } from '@toucanline/core/previewChange';
import { BaseCommand } from './BaseCommand.js';
import { readCurrentConfiguration } from './readCurrentConfiguration.js';
import { readDocument } from './readDocument.js';
import { readSiteStatus } from './readSiteStatus.js';

/** Command `toucanline config diff`. */
export class ConfigDiffCommand extends BaseCommand {
  public static override readonly summary =
    'Show what a configuration document would change in an environment, in words and by key.';

  public static override readonly examples = [
    'toucanline config diff site.toml --environment production --settings ops.toml',
  ];

  public static override readonly args = {
    file: Args.string({ description: 'Configuration document (TOML).', required: true }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<{
    readonly revision: number;
    readonly preview: readonly string[];
  }> {
    const { args, flags } = await this.parse(ConfigDiffCommand);
    const { document } = this.unwrapOrFail(readDocument(args.file));
    const { name, client } = this.openEnvironment(flags);
    const current = this.unwrapOrFail(await readCurrentConfiguration(client));
    const currentDocument = current && parseDocument(current.text).unwrapOr(undefined);
    const { processes } = this.unwrapOrFail(await readSiteStatus(client));
    const shards = processes.flatMap((process) => process.shards);
    const preview = previewChange(currentDocument, document, shards);
    const revision = current?.revision ?? 0;
    this.log(`Compared with revision ${revision} of ${name} by ${current?.author ?? 'nobody'}:`);
    for (const line of preview) this.log(line);
    return { revision, preview };
  }
}
