import type { ProcessStatus } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { formatTable } from './formatTable.js';
import { readCurrentConfiguration } from './readCurrentConfiguration.js';
import { readSiteStatus } from './readSiteStatus.js';

/** Command `toucanline config status`. */
export class ConfigStatusCommand extends BaseCommand {
  public static override readonly summary =
    'Show the configuration revision of each process and which processes have not confirmed the newest.';

  public static override readonly examples = [
    'toucanline config status --environment production --settings ops.toml',
  ];

  /** {@inheritDoc} */
  public override async run(): Promise<object> {
    const { flags } = await this.parse(ConfigStatusCommand);
    const { client } = this.openEnvironment(flags);
    const { processes, unreachable } = this.unwrapOrFail(await readSiteStatus(client));
    const stored = (await readCurrentConfiguration(client)).unwrapOr(undefined);
    const newest = Math.max(
      stored?.revision ?? 0,
      ...processes.map((process) => process.configurationRevision),
    );
    const newestKeys = Math.max(0, ...processes.map((process) => process.keysRevision));
    const isBehind = (process: ProcessStatus): boolean =>
      process.configurationRevision < newest || process.keysRevision < newestKeys;
    const rows = processes.map((process) => [
      process.dataCentre,
      process.process,
      process.role,
      process.ready ? 'ready' : 'not ready',
      String(process.configurationRevision),
      String(process.keysRevision),
      isBehind(process) ? 'not confirmed' : 'confirmed',
    ]);
    const heading = ['DATA CENTRE', 'PROCESS', 'ROLE', 'READY', 'REVISION', 'KEYS', ''];
    this.log(`Newest revision: ${newest}; newest revision of the API keys: ${newestKeys}.`);
    if (stored === undefined)
      this.log('The store could not be read, so there may be a newer revision.');
    this.log(formatTable([heading, ...rows]));
    for (const address of unreachable) this.log(`Unreachable, not confirmed: ${address}`);
    const unconfirmed = processes.filter(isBehind).map(({ process }) => process);
    return { newest, newestKeys, processes, unconfirmed, unreachable };
  }
}
