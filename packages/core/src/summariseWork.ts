import type { WorkStatus } from '@toucanline/schema';
import type { RequestRecord } from './RequestRecord.js';

/** Maximum number of groups in a status message; the largest ones are included. */
const maxGroups = 1000;

/**
 * Groups the unfinished requests of a shard by queue, team, size and type of accelerator.
 *
 * @param records - requests of the shard
 * @returns the largest groups, those with the most requests first
 */
export const summariseWork = (records: Iterable<RequestRecord>): readonly WorkStatus[] => {
  const groups = new Map<string, WorkStatus>();
  for (const record of records) {
    if (record.isFinished) continue;
    const { queue, team, size, acceleratorType } = record.request;
    const { processors, memoryMb, accelerators } = size;
    const key = [queue, team, processors, memoryMb, accelerators, acceleratorType ?? ''].join('|');
    const group = groups.get(key) ?? {
      queue,
      team,
      size,
      waiting: 0,
      running: 0,
      ...(acceleratorType === undefined ? {} : { acceleratorType }),
    };
    const isWaiting = record.activeTasks.length === 0;
    groups.set(key, {
      ...group,
      waiting: group.waiting + (isWaiting ? 1 : 0),
      running: group.running + (isWaiting ? 0 : 1),
    });
  }
  return [...groups.values()]
    .sort((left, right) => right.waiting + right.running - left.waiting - left.running)
    .slice(0, maxGroups);
};
