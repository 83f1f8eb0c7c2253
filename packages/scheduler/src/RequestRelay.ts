import type { Clock, Router } from '@toucanline/core';
import type { CancelCall, Failure, ReplyBody, SubmitCall, WaitCall } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import type { ShardRunner } from './ShardRunner.js';

const pollIntervalMs = 250;
const callTimeoutMs = 2000;
/** Time after the end of an ownership in which its requests are resubmitted; a failover takes at most 10 s. */
const relayTimeoutMs = 10_000;

/**
 * Checks whether an owner may receive a call. If another owner came in between, it may not receive a non-idempotent
 * request: the one in between may have got it from the entry and run it, and its worker may have forgotten the task.
 */
const canReceive = (call: RelayedCall, previousEpoch: number, epoch: number): boolean => {
  const mustRunOnce = call.call === 'submit' && !call.request.idempotent;
  return mustRunOnce ? epoch === previousEpoch + 1 : epoch > previousEpoch;
};

/** Failures after which a call is retried, because the next owner may still accept it. */
const transientKinds: ReadonlySet<Failure['kind']> = new Set([
  'notOwner',
  'noOwner',
  'notReady',
  'linkLost',
  'timeout',
]);

/** Call that is relayed to the next owner. */
type RelayedCall = SubmitCall | CancelCall;

/** Dependencies of the relay. */
interface RelayDependencies {
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
  readonly router: Pick<Router, 'findLoad'>;
  /** Name of the shard. */
  readonly shard: string;
  /** Name of this process. */
  readonly process: string;
  /** Lists open links to other schedulers of the data centre. */
  readonly listPeers: () => readonly Link[];
  /** Returns the current runner of the shard in this process; undefined unless it owns the shard. */
  readonly readRunner: () => Pick<ShardRunner, 'submit' | 'wait' | 'cancel'> | undefined;
  /** Checks whether the candidate still runs. */
  readonly isRunning: () => boolean;
}

/**
 * Resubmits to the next owner of a shard the requests that the previous owner accepted but could not write to the
 * journal. Their entry does the same, but it may have failed.
 */
export class RequestRelay {
  readonly #dependencies: RelayDependencies;

  /** @param dependencies - services and peers to use */
  public constructor(dependencies: RelayDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Waits for the next owner and sends it the calls, for at most 10 s.
   *
   * @param epoch - epoch of the previous owner
   * @param calls - submissions of requests as they were when the ownership ended, and cancellations
   */
  public async run(epoch: number, calls: readonly RelayedCall[]): Promise<void> {
    const { clock, router, shard, isRunning } = this.#dependencies;
    const endedAt = clock.now();
    let pending = calls;
    while (pending.length > 0 && isRunning() && clock.now() - endedAt < relayTimeoutMs) {
      await clock.sleep(pollIntervalMs);
      const remaining: RelayedCall[] = [];
      for (const call of pending) {
        const load = router.findLoad(shard);
        const isNext = load !== undefined && canReceive(call, epoch, load.epoch);
        const isDelivered =
          isNext && (await this.#forward(load.owner, call, clock.now() - endedAt));
        if (!isDelivered) remaining.push(call);
      }
      pending = remaining;
    }
  }

  async #forward(owner: string, call: RelayedCall, elapsedMs: number): Promise<boolean> {
    if (call.call === 'submit') return this.#resubmit(owner, call, elapsedMs);
    return this.#isFinal(await this.#send(owner, call));
  }

  #isFinal(reply: ReplyBody | undefined): boolean {
    if (reply?.reply === 'failure') return !transientKinds.has(reply.failure.kind);
    return reply !== undefined;
  }

  async #resubmit(owner: string, call: SubmitCall, elapsedMs: number): Promise<boolean> {
    const { request, remainingMs, heldMs } = call;
    const leftMs = remainingMs - elapsedMs;
    if (leftMs <= 0) return true;
    const heldField = heldMs === undefined ? {} : { heldMs: heldMs + elapsedMs };
    const reply = await this.#send(owner, { ...call, remainingMs: leftMs, ...heldField });
    if (reply?.reply !== 'view') return this.#isFinal(reply);
    const { id, team } = request;
    const persistCall = {
      call: 'wait',
      requestId: id,
      team,
      waitMs: 0,
      keep: true,
      handsIn: true,
    } as const;
    await this.#send(owner, persistCall);
    return true;
  }

  async #send(
    owner: string,
    body: SubmitCall | CancelCall | WaitCall,
  ): Promise<ReplyBody | undefined> {
    const { process, listPeers, readRunner } = this.#dependencies;
    if (owner === process) {
      const runner = readRunner();
      if (body.call === 'submit') return runner?.submit(body);
      if (body.call === 'cancel') return runner?.cancel(body.requestId, body.team);
      return runner?.wait(body.requestId, body.team, body.waitMs, body);
    }
    const link = listPeers().find(({ peer }) => peer?.process === owner);
    const reply = await link?.call(body, callTimeoutMs);
    return reply?.isOk() === true ? reply.value : undefined;
  }
}
