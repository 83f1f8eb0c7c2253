import { addResources } from '@toucanline/core/addResources';
import { calculateDominantShare } from '@toucanline/core/calculateDominantShare';
import { describeResources } from '@toucanline/core/describeResources';
import { parseDocument } from '@toucanline/core/parseDocument';
import { zeroResources } from '@toucanline/core/zeroResources';
import type { Document, Resources, ShardStatus } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { formatTable } from './formatTable.js';
import { readCurrentConfiguration } from './readCurrentConfiguration.js';
import { readSiteStatus } from './readSiteStatus.js';

/** Row of one team: share and limit from the document, use and waiting requests summed over all shards. */
interface TeamRow {
  readonly team: string;
  /** Share in the configuration document; undefined if it was not read or does not have the team. */
  readonly share: number | undefined;
  /** Share of the team divided by the sum of all shares, from 0 to 1. */
  readonly wantedPart: number;
  /** Dominant share: the largest, over all resources, of the fraction of the fleet that the team uses, from 0 to 1. */
  readonly usedPart: number;
  readonly use: Resources;
  readonly limit: Resources | undefined;
  /** Part of the limit that is allotted to each shard, by name of the shard. */
  readonly allotment: Readonly<Record<string, Resources>>;
  /** Number of waiting requests. */
  readonly waiting: number;
}

const formatPercentage = (fraction: number): string => `${Math.round(fraction * 1000) / 10}%`;

const describeAllotment = (allotment: TeamRow['allotment']): string =>
  Object.entries(allotment)
    .map(([shard, resources]) => `${shard}: ${describeResources(resources)}`)
    .join('; ') || '-';

const createTeamRow = (
  team: string,
  shards: readonly ShardStatus[],
  document: Document | undefined,
): TeamRow => {
  const ownStatuses = shards.flatMap(({ shard, teams }) =>
    teams.filter((status) => status.team === team).map((status) => ({ shard, ...status })),
  );
  const totalCapacities = shards.flatMap(({ workers }) => workers.map(({ room }) => room));
  const use = ownStatuses.reduce((sum, status) => addResources(sum, status.use), zeroResources);
  const totalShare = Object.values(document?.teams ?? {}).reduce(
    (sum, { share }) => sum + share,
    0,
  );
  const section = document?.teams[team];
  return {
    team,
    share: section?.share,
    wantedPart: totalShare === 0 ? 0 : (section?.share ?? 0) / totalShare,
    usedPart: calculateDominantShare(use, totalCapacities.reduce(addResources, zeroResources)),
    use,
    limit: section?.limit,
    allotment: Object.fromEntries(
      ownStatuses.flatMap(({ shard, allotment }) =>
        allotment === undefined ? [] : [[shard, allotment]],
      ),
    ),
    waiting: ownStatuses.reduce((sum, status) => sum + status.waiting, 0),
  };
};

/** Command `toucanline teams`. */
export class TeamsCommand extends BaseCommand {
  public static override readonly summary =
    'List the teams with their share, use, limit and allotment.';

  public static override readonly examples = ['toucanline teams --environment production'];

  /** {@inheritDoc} */
  public override async run(): Promise<readonly TeamRow[]> {
    const { flags } = await this.parse(TeamsCommand);
    const { client } = this.openEnvironment(flags);
    const { processes } = this.unwrapOrFail(await readSiteStatus(client));
    const current = (await readCurrentConfiguration(client)).unwrapOr(undefined);
    const document = current && parseDocument(current.text).unwrapOr(undefined);
    const shards = processes.flatMap((process) => process.shards);
    const names = new Set(shards.flatMap(({ teams }) => teams.map(({ team }) => team)));
    const rows = [...names].sort().map((team) => createTeamRow(team, shards, document));
    const cells = rows.map((row) => [
      row.team,
      `${row.share ?? '-'} (${formatPercentage(row.wantedPart)})`,
      `${formatPercentage(row.usedPart)}: ${describeResources(row.use)}`,
      row.limit === undefined ? 'none' : describeResources(row.limit),
      describeAllotment(row.allotment),
      String(row.waiting),
    ]);
    const heading = ['TEAM', 'SHARE', 'USE', 'LIMIT', 'ALLOTMENT', 'WAITING'];
    this.log(formatTable([heading, ...cells]));
    return rows;
  }
}
