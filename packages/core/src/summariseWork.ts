import type { WorkStatus } from '@toucanline/schema';
import type { RequestRecord } from './RequestRecord.js';

/** Bound on the groups that a status message carries; the largest are kept. */
const maxGroups = 1000;

/**
 * Groups the unfinished requests of a shard by queue, team and size.
 *
 * @param records - requests of the shard
 * @returns the groups with the most requests, largest first
 */
export const summariseWork = (records: Iterable<RequestRecord>): readonly WorkStatus[] => {
  const groups = new Map<string, WorkStatus>();
  for (const record of records) {
    if (record.isFinished) continue;
    const { queue, team, size, acceleratorType } = record.request;
    const { processors, memoryMb, accelerators } = size;
    const name = [queue, team, processors, memoryMb, accelerators, acceleratorType ?? ''].join('|');
    const group = groups.get(name) ?? {
      queue,
      team,
      size,
      waiting: 0,
      running: 0,
      ...(acceleratorType === undefined ? {} : { acceleratorType }),
    };
    const isWaiting = record.activeTasks.length === 0;
    groups.set(name, {
      ...group,
      waiting: group.waiting + (isWaiting ? 1 : 0),
      running: group.running + (isWaiting ? 0 : 1),
    });
  }
  return [...groups.values()]
    .sort((left, right) => right.waiting + right.running - left.waiting - left.running)
    .slice(0, maxGroups);
};
