import { Command, Flags } from '@oclif/core';
import { loadSettings, ProcessRuntime, runDaemon } from '@toucanline/runtime';
import { validators } from '@toucanline/schema';
import { EntryDaemon } from './EntryDaemon.js';

/** Exit code for invalid settings. */
const invalidSettingsCode = 2;

/** Command line of the entry daemon. */
export class EntryCommand extends Command {
  public static override readonly summary = 'Runs an entry: the HTTP front end for callers.';

  public static override readonly examples = [
    'toucanline-entry --settings /etc/toucanline/entry.toml',
  ];

  public static override readonly flags = {
    settings: Flags.string({ summary: 'Path of the settings file (TOML).', required: true }),
    help: Flags.help(),
    version: Flags.version(),
  };

  /** Loads the settings and runs the daemon. */
  public override async run(): Promise<void> {
    const { flags } = await this.parse(EntryCommand);
    const settings = loadSettings(flags.settings, validators.ProcessSettings);
    if (settings.isErr()) this.error(settings.error.detail, { exit: invalidSettingsCode });
    const runtime = new ProcessRuntime(settings.value, 'entry');
    await runDaemon(runtime, new EntryDaemon(runtime));
  }
}
