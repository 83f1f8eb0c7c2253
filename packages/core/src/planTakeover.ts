import type { JournalEntry, Takeover } from '@toucanline/schema';
import { listJournaledRequests } from './listJournaledRequests.js';
import { periods } from './periods.js';
import type { TakeoverIndex } from './TakeoverIndex.js';

/** A takeover is kept at least this long, because entries may hold attached requests of the shard. */
const minKeptMs = 24 * 3_600_000;

/** What a takeover is planned from. */
interface TakeoverInput {
  readonly shard: string;
  /** Epoch of the claim under which the journal was fenced. */
  readonly epoch: number;
  readonly formerEpoch: number;
  /** Queues whose work is taken; undefined for all. */
  readonly queues: ReadonlySet<string> | undefined;
  readonly entries: readonly JournalEntry[];
  readonly takeoverIndex: TakeoverIndex;
  /** Shards of other data centres that have an owner, at least one. */
  readonly successors: readonly string[];
  readonly wallMs: number;
}

/**
 * Plans which shard gets each open request in the journal of a lost shard.
 *
 * @param situation - what the plan depends on
 * @returns the takeover to record
 */
export const planTakeover = (situation: TakeoverInput): Takeover => {
  const {
    shard,
    epoch,
    formerEpoch,
    queues,
    entries,
    takeoverIndex: book,
    successors,
    wallMs,
  } = situation;
  const requests: Record<string, string> = {};
  let untilMs = wallMs + minKeptMs;
  let count = 0;
  for (const { request, deadlineAtMs, isFinished } of listJournaledRequests(entries).values()) {
    const { id, queue, kind } = request;
    const isWanted = queues === undefined || queues.has(queue);
    if (isFinished || !isWanted || book.isTakenOverFrom(id, shard)) continue;
    requests[id] = successors[count % successors.length] ?? shard;
    count += 1;
    // The journal keeps the acceptance of a service without end, and the former owner must not load it.
    const lastMs = kind === 'service' ? Number.MAX_SAFE_INTEGER : deadlineAtMs;
    untilMs = Math.max(untilMs, lastMs + periods.retentionMs);
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
