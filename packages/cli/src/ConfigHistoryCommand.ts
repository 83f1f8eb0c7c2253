import type { ConfigurationSummary } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { formatTable } from './formatTable.js';
import { formatTime } from './formatTime.js';
import { readConfigurationHistory } from './readConfigurationHistory.js';

/** Command `toucanline config history`. */
export class ConfigHistoryCommand extends BaseCommand {
  public static override readonly summary =
    'List all revisions of the configuration, newest first.';

  public static override readonly examples = [
    'toucanline config history --environment production --settings ops.toml',
  ];

  /** {@inheritDoc} */
  public override async run(): Promise<readonly ConfigurationSummary[]> {
    const { flags } = await this.parse(ConfigHistoryCommand);
    const history = this.unwrapOrFail(
      await readConfigurationHistory(this.openEnvironment(flags).client),
    );
    const rows = history.map(({ revision, atMs, author, digest, note }) => [
      String(revision),
      formatTime(atMs),
      author,
      digest.slice(0, 12),
      note ?? '',
    ]);
    this.log(formatTable([['REVISION', 'TIME', 'AUTHOR', 'DIGEST', 'NOTE'], ...rows]));
    return history;
  }
}
