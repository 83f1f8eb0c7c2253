import type { Event, RequestView, ShardStatus } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { coversResources } from './coversResources.js';
import { describeResources } from './describeResources.js';
import { subtractResources } from './subtractResources.js';

const explainWaiting = (view: RequestView, shard: ShardStatus): readonly string[] => {
  const { size, team } = view;
  if (shard.recovering) return ['The shard has a new owner that still collects worker reports.'];
  if (size === undefined) return [];
  const lines: string[] = [];
  const own = shard.teams.find((status) => status.team === team);
  const allotment = own?.allotment;
  if (own !== undefined && allotment !== undefined) {
    if (!coversResources(allotment, addResources(own.use, size))) {
      lines.push(
        `Team ${team} uses ${describeResources(own.use)} of the ${describeResources(allotment)} ` +
          `that its limit allots to this shard; a task of ${describeResources(size)} does not fit.`,
      );
    }
  }
  const usable = shard.workers.filter(({ state, quarantined }) => state === 'live' && !quarantined);
  const large = usable.filter(({ room }) => coversResources(room, size));
  const free = large.filter(({ room, allocated }) =>
    coversResources(subtractResources(room, allocated), size),
  );
  if (large.length === 0) {
    const others = shard.workers.length - usable.length;
    lines.push(
      `None of the ${usable.length} usable workers is large enough for ${describeResources(size)}; ` +
        `${others} more are leaving, drained, in quarantine or not reached.`,
    );
  } else if (free.length === 0) {
    lines.push(`All ${large.length} workers that are large enough are full.`);
  }
  if (shard.waiting > 1) {
    lines.push(
      `${shard.waiting} requests wait in this shard, ${own?.waiting ?? 0} of them of team ${team}.`,
    );
  }
  return lines;
};

/**
 * Explains why a request waits or how it ended.
 *
 * @param view - state of the request
 * @param shard - status of its shard; undefined if no owner answered
 * @param events - events of the request, oldest first
 * @returns explanations, one sentence each
 */
export const explainRequest = (
  view: RequestView,
  shard: ShardStatus | undefined,
  events: readonly Event[],
): readonly string[] => {
  const lines = [`Request ${view.id} is ${view.state}; ran: ${view.ran}.`];
  if (view.failure !== undefined) lines.push(`${view.failure.kind}: ${view.failure.detail}`);
  if (view.reason !== undefined) lines.push(view.reason);
  if (view.state === 'waiting') {
    if (shard === undefined) lines.push('No owner of its shard answered.');
    else lines.push(...explainWaiting(view, shard));
  }
  const last = events.at(-1);
  if (last !== undefined) {
    lines.push(
      `Last event: ${last.name} at ${last.process}${last.detail ? `: ${last.detail}` : ''}.`,
    );
  }
  return lines;
};
