import { Command, Flags } from '@oclif/core';
import { loadSettings, ProcessRuntime, runDaemon } from '@toucanline/runtime';
import { validators } from '@toucanline/schema';
import { SchedulerDaemon } from './SchedulerDaemon.js';

/** Exit code for invalid settings. */
const invalidSettingsCode = 2;

/** Command line of the scheduler daemon. */
export class SchedulerCommand extends Command {
  public static override readonly summary =
    'Runs a scheduler: a candidate owner of the shards of its data centre.';

  public static override readonly examples = [
    'toucanline-scheduler --settings /etc/toucanline/scheduler.toml',
  ];

  public static override readonly flags = {
    settings: Flags.string({ summary: 'Path of the settings file (TOML).', required: true }),
    help: Flags.help(),
    version: Flags.version(),
  };

  /** Loads the settings and runs the daemon. */
  public override async run(): Promise<void> {
    const { flags } = await this.parse(SchedulerCommand);
    const settings = loadSettings(flags.settings, validators.ProcessSettings);
    if (settings.isErr()) this.error(settings.error.detail, { exit: invalidSettingsCode });
    const runtime = new ProcessRuntime(settings.value, 'scheduler');
    await runDaemon(runtime, new SchedulerDaemon(runtime));
  }
}
