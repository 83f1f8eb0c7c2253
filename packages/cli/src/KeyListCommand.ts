import { validators, type KeyViews } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { formatTable } from './formatTable.js';
import { formatTime } from './formatTime.js';

/** Command `toucanline key list`. */
export class KeyListCommand extends BaseCommand {
  public static override readonly summary = 'List the API keys, without their secrets.';

  public static override readonly examples = ['toucanline key list --environment production'];

  /** {@inheritDoc} */
  public override async run(): Promise<KeyViews> {
    const { flags } = await this.parse(KeyListCommand);
    const views = this.unwrapOrFail(
      await this.openEnvironment(flags).client.send({
        method: 'GET',
        path: '/v1/keys',
        isRepeatable: true,
        validator: validators.KeyViews,
      }),
    );
    const rows = views.keys.map(({ id, team, roles, grantedAtMs, withdrawnAtMs }) => [
      id,
      team ?? '-',
      roles.join(','),
      formatTime(grantedAtMs),
      withdrawnAtMs === undefined ? '' : `withdrawn ${formatTime(withdrawnAtMs)}`,
    ]);
    this.log(formatTable([['KEY', 'TEAM', 'ROLES', 'GRANTED', ''], ...rows]));
    return views;
  }
}
