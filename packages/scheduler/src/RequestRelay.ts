import type { Clock, Router } from '@toucanline/core';
import type { CancelCall, Failure, ReplyBody, SubmitCall, WaitCall } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import type { ShardRunner } from './ShardRunner.js';

const pollIntervalMs = 250;
const callTimeoutMs = 2000;
/** Time after the end of an ownership in which its requests are handed in; a failover takes 10 s at most. */
const relayTimeoutMs = 10_000;

/**
 * Whether an owner may get a request. One that followed on another owner may not get a non-idempotent request:
 * that other one may have got it from the entry and run it, and its worker may have forgotten the task.
 */
const canReceive = (call: RelayedCall, formerEpoch: number, epoch: number): boolean => {
  const isOnce = call.call === 'submit' && !call.request.idempotent;
  return isOnce ? epoch === formerEpoch + 1 : epoch > formerEpoch;
};

/** Failures after which the next owner may still take a request. */
const transientKinds: ReadonlySet<Failure['kind']> = new Set([
  'notOwner',
  'noOwner',
  'notReady',
  'linkLost',
  'timeout',
]);

/** What the next owner is told. */
type RelayedCall = SubmitCall | CancelCall;

/** What the relay works with. */
interface RelayDependencies {
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
  readonly router: Pick<Router, 'findLoad'>;
  /** Name of the shard. */
  readonly shard: string;
  /** Name of this process. */
  readonly process: string;
  /** Lists open links to other schedulers of the data centre. */
  readonly listPeers: () => readonly Link[];
  /** Reads the running ownership of this process. */
  readonly readRunner: () => Pick<ShardRunner, 'submit' | 'wait' | 'cancel'> | undefined;
  /** Whether the process goes on. */
  readonly isRunning: () => boolean;
}

/**
 * Hands requests in to the next owner of a shard that the former one took and could not write to the journal.
 * Their entry does the same, but it may have failed.
 */
export class RequestRelay {
  readonly #dependencies: RelayDependencies;

  /** @param parts - what the relay works with */
  public constructor(parts: RelayDependencies) {
    this.#dependencies = parts;
  }

  /**
   * Waits for the next owner and tells it what the former one knew, for a bounded time.
   *
   * @param epoch - epoch of the former owner
   * @param calls - requests as they were when the ownership ended, and cancellations
   */
  public async run(epoch: number, calls: readonly RelayedCall[]): Promise<void> {
    const { clock, router, shard, isRunning: isWanted } = this.#dependencies;
    const endedAt = clock.now();
    let left = calls;
    while (left.length > 0 && isWanted() && clock.now() - endedAt < relayTimeoutMs) {
      await clock.sleep(pollIntervalMs);
      const later: RelayedCall[] = [];
      for (const call of left) {
        const load = router.findLoad(shard);
        const isNext = load !== undefined && canReceive(call, epoch, load.epoch);
        const isTaken = isNext && (await this.#forward(load.owner, call, clock.now() - endedAt));
        if (!isTaken) later.push(call);
      }
      left = later;
    }
  }

  async #forward(owner: string, call: RelayedCall, agedMs: number): Promise<boolean> {
    if (call.call === 'submit') return this.#resubmit(owner, call, agedMs);
    return this.#isFinal(await this.#send(owner, call));
  }

  #isFinal(reply: ReplyBody | undefined): boolean {
    if (reply?.reply === 'failure') return !transientKinds.has(reply.failure.kind);
    return reply !== undefined;
  }

  async #resubmit(owner: string, call: SubmitCall, agedMs: number): Promise<boolean> {
    const { request, remainingMs, heldMs } = call;
    const leftMs = remainingMs - agedMs;
    if (leftMs <= 0) return true;
    const held = heldMs === undefined ? {} : { heldMs: heldMs + agedMs };
    const reply = await this.#send(owner, { ...call, remainingMs: leftMs, ...held });
    if (reply?.reply !== 'view') return this.#isFinal(reply);
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
    body: SubmitCall | CancelCall | WaitCall,
  ): Promise<ReplyBody | undefined> {
    const { process, listPeers, readRunner: readHost } = this.#dependencies;
    if (owner === process) {
      const host = readHost();
      if (body.call === 'submit') return host?.submit(body);
      if (body.call === 'cancel') return host?.cancel(body.requestId, body.team);
      return host?.wait(body.requestId, body.team, body.waitMs, body);
    }
    const link = listPeers().find(({ peer }) => peer?.process === owner);
    const reply = await link?.call(body, callTimeoutMs);
    return reply?.isOk() === true ? reply.value : undefined;
  }
}
