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

/** One team over all shards. */
interface TeamRow {
  readonly team: string;
  readonly share: number | undefined;
  /** Part of the shares of all teams, from 0 to 1. */
  readonly wantedPart: number;
  /** Dominant part of the fleet that the team uses, from 0 to 1. */
  readonly usedPart: number;
  readonly use: Resources;
  readonly limit: Resources | undefined;
  readonly allotment: Readonly<Record<string, Resources>>;
  readonly waiting: number;
}

const formatPercentage = (part: number): string => `${Math.round(part * 1000) / 10}%`;

const describeAllotment = (allotment: TeamRow['allotment']): string =>
  Object.entries(allotment)
    .map(([shard, amount]) => `${shard}: ${describeResources(amount)}`)
    .join('; ') || '-';

const createTeamRow = (
  team: string,
  shards: readonly ShardStatus[],
  document: Document | undefined,
): TeamRow => {
  const own = shards.flatMap(({ shard, teams }) =>
    teams.filter((status) => status.team === team).map((status) => ({ shard, ...status })),
  );
  const rooms = shards.flatMap(({ workers }) => workers.map(({ room }) => room));
  const use = own.reduce((sum, status) => addResources(sum, status.use), zeroResources);
  const total = Object.values(document?.teams ?? {}).reduce((sum, { share }) => sum + share, 0);
  const section = document?.teams[team];
  return {
    team,
    share: section?.share,
    wantedPart: total === 0 ? 0 : (section?.share ?? 0) / total,
    usedPart: calculateDominantShare(use, rooms.reduce(addResources, zeroResources)),
    use,
    limit: section?.limit,
    allotment: Object.fromEntries(
      own.flatMap(({ shard, allotment }) => (allotment === undefined ? [] : [[shard, allotment]])),
    ),
    waiting: own.reduce((sum, status) => sum + status.waiting, 0),
  };
};

/** `toucanline teams`. */
export class TeamsCommand extends BaseCommand {
  public static override readonly summary = 'Lists the teams with share, use, limit and allotment.';

  public static override readonly examples = ['toucanline teams --environment production'];

  /** {@inheritDoc} */
  public override async run(): Promise<readonly TeamRow[]> {
    const { flags } = await this.parse(TeamsCommand);
    const { client } = this.open(flags);
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
