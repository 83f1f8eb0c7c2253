import { createFailure, type Clock, type Shard } from '@toucanline/core';
import type { Failure, ReplyBody, RequestView, SubmitCall, WaitCall } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import { explainUnknownRequest } from './explainUnknownRequest.js';
import type { OwnershipPhase } from './OwnershipPhase.js';
import { RequestWaiters } from './RequestWaiters.js';
import type { ShardJournal } from './ShardJournal.js';
import type { WorkTransfer } from './WorkTransfer.js';

/** Interval of checking a commit that an entry waits for. */
const commitPollIntervalMs = 250;
/** Longest wait for the journal before a call is answered without it; shorter than the timeout margin of a call. */
const journalTimeoutMs = 1000;
/** Delay between attempts to write a drain. */
const rosterRetryDelayMs = 50;

/** Dependencies of the handler. */
interface CallDependencies {
  readonly clock: Clock;
  readonly shard: Shard;
  readonly phase: OwnershipPhase;
  readonly journal: ShardJournal;
  readonly workTransfer: WorkTransfer;
  /** Called after a call was applied to the shard. */
  readonly onChange: () => void;
}

/** Handles the calls of entries about requests and workers. */
export class CallHandler {
  readonly #dependencies: CallDependencies;
  readonly #waiters = new RequestWaiters();

  /** @param dependencies - services and callbacks to use */
  public constructor(dependencies: CallDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Wakes the calls that wait for a request.
   *
   * @param requestId - identifier of the request that changed
   */
  public notify(requestId: string): void {
    this.#waiters.notify(requestId);
  }

  /** Wakes all waiting calls, because the ownership ended. */
  public notifyAll(): void {
    this.#waiters.notifyAll();
  }

  /**
   * Submits a request; a journaled one is answered after its commit.
   *
   * @param original - submit call with the request
   * @returns state of the request, or the failure
   */
  public async submit(original: SubmitCall): Promise<ReplyBody> {
    const { shard, workTransfer, onChange } = this.#dependencies;
    const call = this.#attachWithoutStore(original);
    const notReady = this.#checkReady(call);
    if (notReady !== undefined) return { reply: 'failure', failure: notReady };
    const takeoverFailure = await workTransfer.takeOverAttached(call);
    if (takeoverFailure !== undefined) return { reply: 'failure', failure: takeoverFailure };
    if (!this.#isActive()) return this.#createLinkLostReply();
    const result = shard.submit(call);
    onChange();
    if (result.isErr()) return { reply: 'failure', failure: result.error };
    const { id, team } = result.value;
    while (this.#isActive() && shard.isCommitting(id))
      await this.#waiters.wait(id, commitPollIntervalMs);
    return this.#createReply(shard.read(id, team));
  }

  /**
   * Waits until a request is answered or the time is over.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @param waitMs - longest wait in milliseconds
   * @param options - `keep`: whether the request is to be written to the journal, because its caller stops waiting;
   * `handsIn`: whether the sender resubmits the request if it is unknown here
   * @returns state of the request, or the failure
   */
  public async wait(
    requestId: string,
    team: string | undefined,
    waitMs: number,
    { keep = false, handsIn = false }: Pick<WaitCall, 'keep' | 'handsIn'> = {},
  ): Promise<ReplyBody> {
    const { clock, shard, phase, onChange } = this.#dependencies;
    if (!phase.hasServed) return this.#createLinkLostReply();
    shard.registerInterest(requestId);
    if (keep && phase.canAct) shard.persistRequest(requestId);
    onChange();
    const isDone = (): boolean => !phase.isActive || shard.isWaitOver(requestId);
    const startedAt = clock.now();
    await this.#waiters.waitUntil(requestId, waitMs, isDone);
    if (keep) await this.#waitForJournal(requestId, journalTimeoutMs - (clock.now() - startedAt));
    const result = shard.read(requestId, team);
    return this.#createReply(
      handsIn ? result : result.mapErr((failure) => this.#explainUnknownRequest(failure)),
    );
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns state of the request, or the failure
   */
  public async cancel(requestId: string, team: string | undefined): Promise<ReplyBody> {
    const { shard, phase, onChange } = this.#dependencies;
    if (!phase.canAct || !phase.hasServed) return this.#createLinkLostReply();
    const result = shard.cancel(requestId, team);
    onChange();
    if (result.isErr())
      return this.#createReply(result.mapErr((failure) => this.#explainUnknownRequest(failure)));
    // A waiting request ends at once; its end is reported once it is in the journal.
    await this.#waitForJournal(requestId, journalTimeoutMs);
    return this.#createReply(shard.read(requestId, team));
  }

  /**
   * Starts or ends an operator's drain of a worker.
   *
   * @param worker - name of the worker
   * @param drained - whether the worker gets no new work
   * @returns `done` with whether the store has the drain, or the failure
   */
  public async drain(worker: string, drained: boolean): Promise<ReplyBody> {
    const { clock, shard, phase, journal, onChange } = this.#dependencies;
    if (!phase.canAct || !phase.hasServed) return this.#createLinkLostReply();
    const result = shard.drain(worker, drained);
    onChange();
    if (result.isErr()) return { reply: 'failure', failure: result.error };
    const endsAt = clock.now() + journalTimeoutMs;
    let durable = await journal.saveRoster();
    while (!durable && journal.canCommit && clock.now() < endsAt) {
      await clock.sleep(rosterRetryDelayMs);
      durable = await journal.saveRoster();
    }
    // If the ownership ended meanwhile, this process does not know whether the next owner has the drain.
    return durable || this.#isActive() ? { reply: 'done', durable } : this.#createLinkLostReply();
  }

  /** Waits until the journal has the state of a request; returns at once while nothing can be committed. */
  async #waitForJournal(requestId: string, waitMs: number): Promise<void> {
    const { shard, phase, journal } = this.#dependencies;
    if (!journal.canCommit) return;
    const isDone = (): boolean => !phase.isActive || shard.isJournalSettled(requestId);
    await this.#waiters.waitUntil(requestId, waitMs, isDone);
  }

  #explainUnknownRequest(failure: Failure): Failure {
    const { shard, phase, journal } = this.#dependencies;
    const { servedMs } = phase;
    return explainUnknownRequest(failure, {
      epoch: shard.epoch,
      servedMs,
      hasJournal: journal.isOpen,
    });
  }

  /**
   * Checks whether the ownership is active. A method, because the compiler assumes that a field is unchanged after an
   * await.
   */
  #isActive(): boolean {
    return this.#dependencies.phase.isActive;
  }

  #createReply(result: Result<RequestView, Failure>): ReplyBody {
    const { shard, phase } = this.#dependencies;
    if (!phase.isActive || !phase.isClaimSettled) return this.#createLinkLostReply();
    if (result.isErr()) return { reply: 'failure', failure: result.error };
    return { reply: 'view', view: result.value, epoch: shard.epoch };
  }

  /** Creates a reply that leaves the outcome open for the entry, which then asks the next owner. */
  #createLinkLostReply(): ReplyBody {
    const detail = `the shard ${this.#dependencies.shard.name} may have another owner`;
    return { reply: 'failure', failure: createFailure('linkLost', detail) };
  }

  /** While the store is unreachable, treats a request that prefers to be detached like one whose caller waits. */
  #attachWithoutStore(call: SubmitCall): SubmitCall {
    if (call.detached !== 'prefer' || this.#dependencies.journal.canCommit) return call;
    return { ...call, request: { ...call.request, detached: false } };
  }

  #checkReady({ request, heldEpoch }: SubmitCall): Failure | undefined {
    const { shard, phase, journal } = this.#dependencies;
    if (!phase.isOperational)
      return createFailure('notOwner', 'the owner of the shard is changing');
    if (!phase.isClaimSettled || !phase.hasServed) {
      return createFailure('notReady', 'the owner of the shard is starting', 1);
    }
    if (journal.canCommit || !shard.isJournaled(request)) return undefined;
    // With a held epoch, a previous owner may have accepted the request: its outcome is open until the journal is
    // read.
    return heldEpoch === undefined
      ? createFailure('storeUnavailable', 'the journal of the shard cannot be reached', 1)
      : createFailure('timeout', 'the journal of the shard cannot be reached');
  }
}
