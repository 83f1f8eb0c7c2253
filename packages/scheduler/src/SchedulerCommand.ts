import { DaemonCommand, type Daemon, type ProcessRuntime } from '@toucanline/runtime';
import { SchedulerDaemon } from './SchedulerDaemon.js';

/** Command line of the scheduler daemon. */
export class SchedulerCommand extends DaemonCommand {
  public static override readonly summary =
    'Runs a scheduler: a candidate owner of the shards of its data centre.';

  public static override readonly examples = [
    'toucanline-scheduler --settings /etc/toucanline/scheduler.toml',
  ];

  protected override readonly role = 'scheduler';

  /** {@inheritDoc DaemonCommand.createDaemon} */
  protected override createDaemon(runtime: ProcessRuntime): Daemon {
    return new SchedulerDaemon(runtime);
  }
}
