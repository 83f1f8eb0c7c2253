import { Command, Flags } from '@oclif/core';
import { validators, type Hello } from '@toucanline/schema';
import type { Daemon } from './Daemon.js';
import { limitHeapGrowth } from './limitHeapGrowth.js';
import { loadSettings } from './loadSettings.js';
import { ProcessRuntime } from './ProcessRuntime.js';
import { runDaemon } from './runDaemon.js';

/** Exit code of a process with invalid settings. */
const invalidSettingsCode = 2;

/** Command line of a daemon. */
export abstract class DaemonCommand extends Command {
  public static override readonly flags = {
    settings: Flags.string({ summary: 'Path of the settings file (TOML).', required: true }),
    help: Flags.help(),
    version: Flags.version(),
  };

  /** Role that the daemon announces on links. */
  protected abstract readonly role: Hello['role'];

  /** Loads the settings and runs the daemon. */
  public override async run(): Promise<void> {
    const { flags } = await this.parse(DaemonCommand);
    const settings = loadSettings(flags.settings, validators.ProcessSettings);
    if (settings.isErr()) this.error(settings.error.detail, { exit: invalidSettingsCode });
    limitHeapGrowth(settings.value.limits);
    const runtime = new ProcessRuntime(settings.value, this.role);
    await runDaemon(runtime, this.createDaemon(runtime));
  }

  /**
   * Creates the daemon.
   *
   * @param runtime - runtime of the process
   * @returns the daemon, not started
   */
  protected abstract createDaemon(runtime: ProcessRuntime): Daemon;
}
