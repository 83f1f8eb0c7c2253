import type { Document, QueueSection, Resources } from '@toucanline/schema';
import type { DocumentIssue } from './DocumentIssue.js';

const listNames = (names: Readonly<Record<string, unknown>>): string =>
  `allowed: ${Object.keys(names).join(', ')}`;

const checkTeamNames = (
  document: Document,
  name: string,
  queue: QueueSection,
): readonly DocumentIssue[] => {
  const issues: DocumentIssue[] = [];
  const allowed = listNames(document.teams);
  const teams = queue.teams ?? [];
  for (const team of teams) {
    if (Object.hasOwn(document.teams, team)) continue;
    issues.push({ path: ['queues', name, 'teams'], found: `team "${team}"`, allowed });
  }
  if (new Set(teams).size < teams.length) {
    const found = `a duplicate team in ${JSON.stringify(teams)}`;
    issues.push({ path: ['queues', name, 'teams'], found, allowed: 'each team once' });
  }
  if (queue.team !== undefined && !Object.hasOwn(document.teams, queue.team)) {
    issues.push({ path: ['queues', name, 'team'], found: `team "${queue.team}"`, allowed });
  }
  return issues;
};

const isZeroLimit = (limit: Resources | undefined): boolean =>
  limit !== undefined && limit.processors + limit.memoryMb + limit.accelerators === 0;

/** Reports a queue that nobody may use: it has no team, or every team that may use it has a limit of zero. */
const checkUsers = (
  document: Document,
  name: string,
  queue: QueueSection,
): readonly DocumentIssue[] => {
  const path = ['queues', name, queue.open === true ? 'team' : 'teams'];
  if (queue.open === true && queue.team === undefined) {
    const allowed = 'an open queue must name the team to which its work is charged';
    return [{ path, found: 'nothing', allowed }];
  }
  const keyedTeams = queue.teams ?? Object.keys(document.teams);
  const users = queue.team === undefined ? keyedTeams : [...keyedTeams, queue.team];
  const known = users.filter((team) => Object.hasOwn(document.teams, team));
  if (known.length === 0 || known.some((team) => !isZeroLimit(document.teams[team]?.limit)))
    return [];
  const found = `only teams whose limit is zero: ${known.join(', ')}`;
  return [{ path, found, allowed: 'at least one team that may run work' }];
};

/** Reports a limit below every worker class: most likely a wrong unit, such as GB instead of MB. */
const checkLimits = (document: Document): readonly DocumentIssue[] => {
  const classes = Object.entries(document.workers ?? {});
  if (classes.length === 0) return [];
  const issues: DocumentIssue[] = [];
  for (const [team, { limit }] of Object.entries(document.teams)) {
    if (limit === undefined || isZeroLimit(limit)) continue;
    for (const resource of ['processors', 'memoryMb'] as const) {
      const minAmount = Math.min(...classes.map(([, { room }]) => room[resource]));
      if (limit[resource] >= minAmount) continue;
      issues.push({
        path: ['teams', team, 'limit', resource],
        found: String(limit[resource]),
        allowed: `at least ${minAmount}, the size of the smallest worker class`,
      });
    }
  }
  return issues;
};

/**
 * Checks rules that the schema cannot express: references between sections, and values that admit no work.
 *
 * @param document - a document that is valid by the schema
 * @returns the errors; empty if there are none
 */
export const checkSemantics = (document: Document): readonly DocumentIssue[] => [
  ...Object.entries(document.queues).flatMap(([name, queue]) => [
    ...checkTeamNames(document, name, queue),
    ...checkUsers(document, name, queue),
  ]),
  ...checkLimits(document),
];
