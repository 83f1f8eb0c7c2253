import { DaemonCommand, type Daemon, type ProcessRuntime } from '@toucanline/runtime';
import { EntryDaemon } from './EntryDaemon.js';

/** Command line of the entry daemon. */
export class EntryCommand extends DaemonCommand {
  public static override readonly summary = 'Runs an entry: the HTTP front end for callers.';

  public static override readonly examples = [
    'toucanline-entry --settings /etc/toucanline/entry.toml',
  ];

  protected override readonly role = 'entry';

  /** {@inheritDoc DaemonCommand.createDaemon} */
  protected override createDaemon(runtime: ProcessRuntime): Daemon {
    return new EntryDaemon(runtime);
  }
}
