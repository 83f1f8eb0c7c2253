import type { Document, Resources, ShardStatus, WorkStatus } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { compareDocuments } from './compareDocuments.js';
import { coversResources } from './coversResources.js';
import { describeResources } from './describeResources.js';
import { Policy } from './Policy.js';
import { zeroResources } from './zeroResources.js';

const defaultLowerLimitSeconds = 30;

/** Both documents and the work at the moment. */
interface Change {
  readonly before: Document | undefined;
  readonly after: Document;
  readonly work: readonly WorkStatus[];
  readonly use: ReadonlyMap<string, Resources>;
}

const describeWork = (work: readonly WorkStatus[]): string => {
  const waiting = work.reduce((sum, group) => sum + group.waiting, 0);
  const running = work.reduce((sum, group) => sum + group.running, 0);
  return `${waiting} waiting and ${running} running requests`;
};

const sumUse = (shards: readonly ShardStatus[]): ReadonlyMap<string, Resources> => {
  const use = new Map<string, Resources>();
  for (const { teams } of shards) {
    for (const team of teams) {
      use.set(team.team, addResources(use.get(team.team) ?? zeroResources, team.use));
    }
  }
  return use;
};

const describeShare = (document: Document, team: string): string => {
  const total = Object.values(document.teams).reduce((sum, { share }) => sum + share, 0);
  return `${Math.round(((document.teams[team]?.share ?? 0) / total) * 1000) / 10}%`;
};

const previewLimit = ({ before, after, use }: Change, team: string): readonly string[] => {
  const limit = after.teams[team]?.limit;
  const old = before?.teams[team]?.limit;
  if (JSON.stringify(limit) === JSON.stringify(old)) return [];
  if (limit === undefined) return [`Team ${team} has no limit any more.`];
  const used = use.get(team) ?? zeroResources;
  const words = `The limit of team ${team} becomes ${describeResources(limit)}`;
  if (coversResources(limit, used)) {
    return [`${words}; it runs ${describeResources(used)} now, which stays within it.`];
  }
  const seconds = after.placement?.lowerLimitSeconds ?? defaultLowerLimitSeconds;
  return [
    `${words}; it runs ${describeResources(used)} now, which is over it. Work above the limit is ` +
      `stopped within ${seconds} s, newest idempotent first; other work runs to its end.`,
  ];
};

const previewTeams = (change: Change): readonly string[] => {
  const { before, after, work } = change;
  const lines: string[] = [];
  for (const team of Object.keys(after.teams)) {
    if (before !== undefined && before.teams[team] === undefined) {
      lines.push(`Team ${team} is new, with ${describeShare(after, team)} of a full fleet.`);
    } else if (before !== undefined) {
      const [old, next] = [describeShare(before, team), describeShare(after, team)];
      if (old !== next) lines.push(`Team ${team} gets ${next} of a full fleet instead of ${old}.`);
    }
    lines.push(...previewLimit(change, team));
  }
  for (const team of Object.keys(before?.teams ?? {})) {
    if (after.teams[team] !== undefined) continue;
    const count = describeWork(work.filter((group) => group.team === team));
    lines.push(`Team ${team} is removed: new requests are refused; it has ${count}.`);
  }
  return lines;
};

const previewQueues = ({ before, after, work }: Change): readonly string[] => {
  const lines: string[] = [];
  for (const [name, old] of Object.entries(before?.queues ?? {})) {
    const own = work.filter(({ queue }) => queue === name);
    const next = after.queues[name];
    if (next === undefined) {
      lines.push(`Queue ${name} closes: new requests are refused; ${describeWork(own)} go on.`);
      continue;
    }
    if (old.open === true && next.open !== true) {
      lines.push(`Queue ${name} no longer takes work without a key.`);
    }
    for (const team of Object.keys(after.teams)) {
      const couldUse = old.teams === undefined || old.teams.includes(team);
      const canUse = next.teams === undefined || next.teams.includes(team);
      if (!couldUse || canUse) continue;
      const count = describeWork(own.filter((group) => group.team === team));
      lines.push(`Queue ${name} closes for team ${team}; ${count} of it go on.`);
    }
  }
  return lines;
};

const previewFit = ({ before, after, work }: Change): readonly string[] => {
  const old = before === undefined ? undefined : new Policy(before);
  const next = new Policy(after);
  const lines: string[] = [];
  for (const { queue, team, size, acceleratorType, waiting } of work) {
    if (waiting === 0) continue;
    const group = `${waiting} waiting requests of team ${team} in queue ${queue}`;
    const words = `${group} (${describeResources(size)} each)`;
    const fits = next.canEverFit(size, acceleratorType);
    if (!fits && old?.canEverFit(size, acceleratorType) !== false) {
      lines.push(`${words} no longer fit any worker class.`);
    }
    const limit = next.findLimit(team);
    const oldLimit = old?.findLimit(team);
    const fitted = oldLimit === undefined || coversResources(oldLimit, size);
    if (limit !== undefined && fitted && !coversResources(limit, size)) {
      lines.push(`${words} exceed the limit of the team each and cannot start.`);
    }
  }
  return lines;
};

const previewShards = ({ before, after }: Change): readonly string[] => {
  if (before === undefined) return [];
  const [old, next] = [Object.keys(before.shards), Object.keys(after.shards)];
  return [
    ...next
      .filter((shard) => !old.includes(shard))
      .map((shard) => `Shard ${shard} is new: its data centre's workers are divided again.`),
    ...old
      .filter((shard) => !next.includes(shard))
      .map((shard) => `Shard ${shard} is removed: its workers pass to other shards.`),
  ];
};

/**
 * Says in plain words what a change of the document does to running and waiting work.
 *
 * @param before - document in effect; undefined if there is none
 * @param after - new document
 * @param shards - status of the shards at the moment
 * @returns one sentence a line, then each changed key
 */
export const previewChange = (
  before: Document | undefined,
  after: Document,
  shards: readonly ShardStatus[],
): readonly string[] => {
  const changes = compareDocuments(before ?? {}, after);
  if (changes.length === 0) return ['The documents mean the same: nothing changes.'];
  const work = shards.flatMap((shard) => shard.work ?? []);
  const change = { before, after, work, use: sumUse(shards) };
  const effects = [
    ...previewShards(change),
    ...previewQueues(change),
    ...previewTeams(change),
    ...previewFit(change),
  ];
  return [
    ...(effects.length === 0 ? ['No running or waiting work is affected.'] : effects),
    ...changes.map((line) => `  ${line}`),
  ];
};
