import type { Failure, JournalEntry, RequestView, SubmitCall } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';
import { isAnswered } from './isAnswered.js';
import type { KeyRing } from './KeyRing.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';
import type { ShardComponents } from './ShardComponents.js';
import type { ShardSettings } from './ShardSettings.js';

/** What entries and the journal do with the requests of a shard. */
export class ShardRequests {
  readonly #context: ShardContext;
  readonly #components: ShardComponents;
  readonly #settings: ShardSettings;

  /**
   * @param context - what the parts of the shard share
   * @param parts - the parts of the shard
   * @param settings - policy and keys in effect
   */
  public constructor(context: ShardContext, parts: ShardComponents, settings: ShardSettings) {
    this.#context = context;
    this.#components = parts;
    this.#settings = settings;
  }

  /**
   * Applies a new list of keys: waiting requests of withdrawn keys are refused.
   *
   * @param keyRing - keys in effect
   */
  public applyKeys(keyRing: Pick<KeyRing, 'isWithdrawn'>): void {
    this.#settings.applyKeys(keyRing);
    // A request that is held back during recovery may run somewhere and is not in the queue.
    for (const record of this.#components.queue.list()) {
      const { keyId } = record.request;
      const isWaiting = record.state === 'waiting' && record.stopPlan === undefined;
      if (!isWaiting || keyId === undefined || !keyRing.isWithdrawn(keyId)) continue;
      const failure = createFailure('withdrawnKey', `the key ${keyId} was withdrawn`);
      this.#components.lifecycle.stopRequest(record, { next: 'failed', failure });
    }
  }

  /**
   * Checks whether the end of a request has to be in the journal.
   *
   * @param request - the request
   * @returns true if it is accepted only after a commit
   */
  public isJournaled(request: SubmitCall['request']): boolean {
    return this.#components.acceptance.isJournaled(request);
  }

  /**
   * Takes a request from an entry. The same request handed in again returns its current state.
   *
   * @param call - the request
   * @returns its state; or the reason why it was not taken, which proves that it did not run
   */
  public submit(call: SubmitCall): Result<RequestView, Failure> {
    const { queue } = call.request;
    if (this.#components.relinquished.isQueueReleased(queue)) {
      const detail = `the data centre of ${this.#context.shard} is cut off and gave queue ${queue} up`;
      return err(createFailure('noOwner', detail, 1));
    }
    return this.#components.acceptance.submit(call);
  }

  /**
   * Whether the acceptance of a request still waits for its commit.
   *
   * @param requestId - identifier of the request
   * @returns true until the journal confirmed it
   */
  public isCommitting(requestId: string): boolean {
    return this.#components.acceptance.isCommitting(requestId);
  }

  /**
   * Writes a request that goes on to the journal, because its caller stops to wait.
   *
   * @param requestId - identifier of the request
   */
  public persistRequest(requestId: string): void {
    const record = this.#components.table.find(requestId);
    if (record !== undefined) this.#components.acceptance.persistRequest(record);
  }

  /**
   * Whether the journal has what is known about a request, or certainly will not have it for now.
   *
   * @param requestId - identifier of the request
   * @returns false while the commit of its acceptance or of its end is under way
   */
  public isJournalSettled(requestId: string): boolean {
    const record = this.#components.table.find(requestId);
    if (record === undefined) return true;
    if (this.#components.lifecycle.isWriting(record)) return false;
    return record.isFinished || record.isDurable || !record.isAccepted;
  }

  /**
   * Confirms a commit.
   *
   * @param ticket - ticket of the effect
   * @param failure - why the entry is not in the journal, unless it is
   */
  public applyCommitResult(ticket: number, failure?: Failure): void {
    if (this.#components.takeoverReceiver.applyCommitResult(ticket, failure)) return;
    if (this.#components.lifecycle.applyCommitResult(ticket, failure)) return;
    if (ticket < 0) {
      this.#applyIntentResult(ticket, failure);
      return;
    }
    this.#components.acceptance.applyCommitResult(ticket, failure);
  }

  /**
   * Reads the state of a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns the state; `unknownRequest` if there is none that the caller may see
   */
  public read(requestId: string, team?: string): Result<RequestView, Failure> {
    return this.#find(requestId, team).map((record) => record.describe());
  }

  /**
   * Notes that somebody asks for a request.
   *
   * @param requestId - identifier of the request
   */
  public registerInterest(requestId: string): void {
    const record = this.#components.table.find(requestId);
    if (record !== undefined) this.#components.lifecycle.registerInterest(record);
  }

  /**
   * Checks whether waiting longer for a request makes sense.
   *
   * @param requestId - identifier of the request
   * @returns false while the request is known and not answered
   */
  public isWaitOver(requestId: string): boolean {
    const record = this.#components.table.find(requestId);
    return record === undefined || isAnswered(record.describe());
  }

  /**
   * Checks whether a request is known here.
   *
   * @param requestId - identifier of the request
   * @returns true if it is
   */
  public hasRequest(requestId: string): boolean {
    return this.#components.table.find(requestId) !== undefined;
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns the state after the cancellation began
   */
  public cancel(requestId: string, team?: string): Result<RequestView, Failure> {
    return this.#find(requestId, team).map((record) => {
      this.#components.lifecycle.cancel(record);
      return record.describe();
    });
  }

  /**
   * Notes a request that a lost data centre may have started and that must not start again.
   *
   * @param request - the request
   */
  public addOutcomeUnknown(request: SubmitCall['request']): void {
    this.#components.takeoverReceiver.addOutcomeUnknown(request);
  }

  /**
   * Takes in requests of a lost data centre that this shard was given.
   *
   * @param entries - journal of the lost shard, oldest first
   * @param ids - requests that this shard was given
   * @returns true once the journal of this shard has all of them
   */
  public takeOver(entries: readonly JournalEntry[], ids: ReadonlySet<string>): boolean {
    return this.#components.takeoverReceiver.takeOver(entries, ids);
  }

  /** Lets the requests that were held back go on once the recovery is over. */
  public finishRecovery(): void {
    const { keyRing } = this.#settings;
    const hasEnded = this.#components.restorer.finishRecovery();
    if (hasEnded && keyRing !== undefined) this.applyKeys(keyRing);
  }

  #find(requestId: string, team?: string): Result<RequestRecord, Failure> {
    const record = this.#components.table.find(requestId);
    if (record === undefined || (team !== undefined && record.request.team !== team)) {
      return err(createFailure('unknownRequest', `no request ${requestId}`));
    }
    return ok(record);
  }

  #applyIntentResult(ticket: number, failure?: Failure): void {
    const task = this.#components.dispatcher.takeIntent(ticket);
    if (task?.isActive !== true) return;
    const record = this.#components.table.find(task.assignment.request.id);
    if (record === undefined) return;
    if (failure === undefined && this.#components.dispatcher.sendStart(task)) return;
    this.#components.tracker.revertStart(
      record,
      task,
      failure?.detail ?? 'the worker left the fleet',
    );
  }
}
