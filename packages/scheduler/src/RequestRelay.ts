import type { Clock, Router } from '@toucanline/core';
import type { CallBody, Failure, ReplyBody, SubmitCall } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import type { ShardHost } from './ShardHost.js';

const pollMs = 250;
const callTimeoutMs = 2000;
/** Time after the end of an ownership in which its requests are handed in; a failover takes 10 s at most. */
const relayMs = 10_000;

/**
 * Whether an owner may get a request. One that followed on another owner may not get a non-idempotent request:
 * that other one may have got it from the entry and run it, and its worker may have forgotten the task.
 */
const mayTake = ({ request, heldEpoch = 0 }: SubmitCall, epoch: number): boolean =>
  request.idempotent ? epoch > heldEpoch : epoch === heldEpoch + 1;

/** Failures after which the next owner may still take a request. */
const transientKinds: ReadonlySet<Failure['kind']> = new Set([
  'notOwner',
  'noOwner',
  'notReady',
  'linkLost',
  'timeout',
]);

/** What the relay works with. */
interface RelayParts {
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
  readonly router: Pick<Router, 'findLoad'>;
  /** Name of this process. */
  readonly process: string;
  /** Lists open links to other schedulers of the data centre. */
  readonly listPeers: () => readonly Link[];
  /** Reads the running ownership of this process. */
  readonly readHost: () => Pick<ShardHost, 'submit' | 'wait'> | undefined;
  /** Whether the process goes on. */
  readonly isWanted: () => boolean;
}

/**
 * Hands requests in to the next owner of a shard that the former one took and could not write to the journal.
 * Their entry does the same, but it may have failed.
 */
export class RequestRelay {
  readonly #parts: RelayParts;

  /** @param parts - what the relay works with */
  public constructor(parts: RelayParts) {
    this.#parts = parts;
  }

  /**
   * Waits for the next owner and hands the requests in, for a bounded time.
   *
   * @param calls - the requests as they were when the ownership ended
   */
  public async run(calls: readonly SubmitCall[]): Promise<void> {
    const { clock, router, isWanted } = this.#parts;
    const endedAt = clock.now();
    let left = calls;
    while (left.length > 0 && isWanted() && clock.now() - endedAt < relayMs) {
      await clock.sleep(pollMs);
      const later: SubmitCall[] = [];
      for (const call of left) {
        const load = router.findLoad(call.shard);
        const isNext = load !== undefined && mayTake(call, load.epoch);
        const isTaken = isNext && (await this.#handIn(load.owner, call, clock.now() - endedAt));
        if (!isTaken) later.push(call);
      }
      left = later;
    }
  }

  async #handIn(owner: string, call: SubmitCall, agedMs: number): Promise<boolean> {
    const { request, remainingMs, heldMs } = call;
    const leftMs = remainingMs - agedMs;
    if (leftMs <= 0) return true;
    const held = heldMs === undefined ? {} : { heldMs: heldMs + agedMs };
    const reply = await this.#send(owner, { ...call, remainingMs: leftMs, ...held });
    if (reply === undefined) return false;
    if (reply.reply === 'failure') return !transientKinds.has(reply.failure.kind);
    const { id, team } = request;
    const keep = {
      call: 'wait',
      requestId: id,
      team,
      waitMs: 0,
      keep: true,
      handsIn: true,
    } as const;
    await this.#send(owner, keep);
    return true;
  }

  async #send(
    owner: string,
    body: Extract<CallBody, { call: 'submit' | 'wait' }>,
  ): Promise<ReplyBody | undefined> {
    const { process, listPeers, readHost } = this.#parts;
    if (owner === process) {
      const host = readHost();
      if (body.call === 'submit') return host?.submit(body);
      return host?.wait(body.requestId, body.team, body.waitMs, body);
    }
    const link = listPeers().find(({ peer }) => peer?.process === owner);
    const reply = await link?.call(body, callTimeoutMs);
    return reply?.isOk() === true ? reply.value : undefined;
  }
}
