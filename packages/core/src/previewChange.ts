import type { Document, Resources, ShardStatus, WorkStatus } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { compareDocuments } from './compareDocuments.js';
import { coversResources } from './coversResources.js';
import { describeResources } from './describeResources.js';
import { Policy } from './Policy.js';
import { zeroResources } from './zeroResources.js';

const defaultLowerLimitSeconds = 30;

/** Both documents, with the current work and use. */
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
  const previous = before?.teams[team]?.limit;
  if (JSON.stringify(limit) === JSON.stringify(previous)) return [];
  if (limit === undefined) return [`Team ${team} no longer has a limit.`];
  const used = use.get(team) ?? zeroResources;
  const summary = `The limit of team ${team} becomes ${describeResources(limit)}`;
  if (coversResources(limit, used)) {
    return [`${summary}; it runs ${describeResources(used)} now, which stays within it.`];
  }
  const seconds = after.placement?.lowerLimitSeconds ?? defaultLowerLimitSeconds;
  return [
    `${summary}; it runs ${describeResources(used)} now, which is over it. Work above the limit is ` +
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
      const [previous, next] = [describeShare(before, team), describeShare(after, team)];
      if (previous !== next)
        lines.push(`Team ${team} gets ${next} of a full fleet instead of ${previous}.`);
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
  for (const [name, previous] of Object.entries(before?.queues ?? {})) {
    const own = work.filter(({ queue }) => queue === name);
    const next = after.queues[name];
    if (next === undefined) {
      lines.push(`Queue ${name} closes: new requests are refused; ${describeWork(own)} go on.`);
      continue;
    }
    if (previous.open === true && next.open !== true) {
      lines.push(`Queue ${name} no longer takes work without a key.`);
    }
    for (const team of Object.keys(after.teams)) {
      const couldUse = previous.teams === undefined || previous.teams.includes(team);
      const canUse = next.teams === undefined || next.teams.includes(team);
      if (!couldUse || canUse) continue;
      const count = describeWork(own.filter((group) => group.team === team));
      lines.push(`Queue ${name} closes for team ${team}; ${count} of it go on.`);
    }
  }
  return lines;
};

const previewFit = ({ before, after, work }: Change): readonly string[] => {
  const previous = before === undefined ? undefined : new Policy(before);
  const next = new Policy(after);
  const lines: string[] = [];
  for (const { queue, team, size, acceleratorType, waiting } of work) {
    if (waiting === 0) continue;
    const group = `${waiting} waiting requests of team ${team} in queue ${queue}`;
    const subject = `${group} (${describeResources(size)} each)`;
    const fits = next.canEverFit(size, acceleratorType);
    if (!fits && previous?.canEverFit(size, acceleratorType) !== false) {
      lines.push(`${subject} no longer fit any worker class.`);
    }
    const limit = next.findLimit(team);
    const previousLimit = previous?.findLimit(team);
    const fitted = previousLimit === undefined || coversResources(previousLimit, size);
    if (limit !== undefined && fitted && !coversResources(limit, size)) {
      lines.push(`${subject} exceed the limit of the team each and cannot start.`);
    }
  }
  return lines;
};

const previewShards = ({ before, after }: Change): readonly string[] => {
  if (before === undefined) return [];
  const [previous, next] = [Object.keys(before.shards), Object.keys(after.shards)];
  return [
    ...next
      .filter((shard) => !previous.includes(shard))
      .map((shard) => `Shard ${shard} is new: its data centre's workers are divided again.`),
    ...previous
      .filter((shard) => !next.includes(shard))
      .map((shard) => `Shard ${shard} is removed: its workers pass to other shards.`),
  ];
};

/**
 * Describes in plain sentences how a change of the document affects running and waiting work.
 *
 * @param before - document in effect; undefined if there is none
 * @param after - new document
 * @param shards - current status of the shards
 * @returns lines of text: one sentence for each effect, then each changed key
 */
export const previewChange = (
  before: Document | undefined,
  after: Document,
  shards: readonly ShardStatus[],
): readonly string[] => {
  const changes = compareDocuments(before ?? {}, after);
  if (changes.length === 0) return ['The documents are equivalent: nothing changes.'];
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
