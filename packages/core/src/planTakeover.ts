import type { JournalEntry, Takeover } from '@toucanline/schema';
import { listJournaledRequests } from './listJournaledRequests.js';
import { periods } from './periods.js';
import type { TakeoverIndex } from './TakeoverIndex.js';

/** Minimum time for which a takeover is kept, because entries may still have attached requests of the shard. */
const minRetentionMs = 24 * 3_600_000;

/** Input for the plan of a takeover. */
interface TakeoverInput {
  /** Name of the lost shard. */
  readonly shard: string;
  /** Epoch of the claim under which the journal was fenced. */
  readonly epoch: number;
  /** Epoch of the owner whose work is taken over. */
  readonly formerEpoch: number;
  /** Queues to take over; undefined for all. */
  readonly queues: ReadonlySet<string> | undefined;
  /** Journal of the lost shard, oldest entry first. */
  readonly entries: readonly JournalEntry[];
  /** Takeovers recorded so far. */
  readonly takeoverIndex: TakeoverIndex;
  /** Shards of other data centres that have an owner; at least one. */
  readonly successors: readonly string[];
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly wallMs: number;
}

/**
 * Assigns each unfinished request in the journal of a lost shard to a successor, in turn.
 *
 * @param input - journal, takeovers and successors
 * @returns the takeover to record
 */
export const planTakeover = (input: TakeoverInput): Takeover => {
  const { shard, epoch, formerEpoch, queues, entries, takeoverIndex, successors, wallMs } = input;
  const requests: Record<string, string> = {};
  let untilMs = wallMs + minRetentionMs;
  let count = 0;
  for (const { request, deadlineAtMs, isFinished } of listJournaledRequests(entries).values()) {
    const { id, queue, kind } = request;
    const isWanted = queues === undefined || queues.has(queue);
    if (isFinished || !isWanted || takeoverIndex.isTakenOverFrom(id, shard)) continue;
    requests[id] = successors[count % successors.length] ?? shard;
    count += 1;
    // The journal keeps the acceptance of an unfinished service indefinitely, and the previous owner must not
    // load it.
    const latestDeadlineAtMs = kind === 'service' ? Number.MAX_SAFE_INTEGER : deadlineAtMs;
    untilMs = Math.max(untilMs, latestDeadlineAtMs + periods.retentionMs);
  }
  return {
    shard,
    epoch,
    formerEpoch,
    ...(queues === undefined ? {} : { queues: [...queues] }),
    atMs: wallMs,
    untilMs,
    requests,
    inheritedBy: [],
  };
};
