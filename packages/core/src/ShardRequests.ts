import type { Failure, JournalEntry, RequestView, SubmitCall } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';
import { isAnswered } from './isAnswered.js';
import type { KeyRing } from './KeyRing.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';
import type { ShardComponents } from './ShardComponents.js';
import type { ShardSettings } from './ShardSettings.js';

/** Handles the calls of entries and the results of journal commits for the requests of a shard. */
export class ShardRequests {
  readonly #context: ShardContext;
  readonly #components: ShardComponents;
  readonly #settings: ShardSettings;

  /**
   * @param context - identity and services that the components of the shard share
   * @param components - components of the shard
   * @param settings - current policy and keys
   */
  public constructor(context: ShardContext, components: ShardComponents, settings: ShardSettings) {
    this.#context = context;
    this.#components = components;
    this.#settings = settings;
  }

  /**
   * Applies a new list of keys. Waiting requests of withdrawn keys are finished as failed.
   *
   * @param keyRing - new keys
   */
  public applyKeys(keyRing: Pick<KeyRing, 'isWithdrawn'>): void {
    this.#settings.applyKeys(keyRing);
    // Requests that are held back during recovery may be running; they are not in the queue.
    for (const record of this.#components.queue.list()) {
      const { keyId } = record.request;
      const isWaiting = record.state === 'waiting' && record.stopPlan === undefined;
      if (!isWaiting || keyId === undefined || !keyRing.isWithdrawn(keyId)) continue;
      const failure = createFailure('withdrawnKey', `the key ${keyId} was withdrawn`);
      this.#components.lifecycle.stopRequest(record, { next: 'failed', failure });
    }
  }

  /**
   * Checks whether a request is journaled.
   *
   * @param request - the request
   * @returns true if it is accepted only after a commit to the journal
   */
  public isJournaled(request: SubmitCall['request']): boolean {
    return this.#components.acceptance.isJournaled(request);
  }

  /**
   * Accepts a request from an entry. Submitting the same request again returns its current state.
   *
   * @param call - the request
   * @returns its state; or the reason why it was refused, which proves that it did not run
   */
  public submit(call: SubmitCall): Result<RequestView, Failure> {
    const { queue } = call.request;
    if (this.#components.relinquished.isQueueReleased(queue)) {
      const detail = `the data centre of ${this.#context.shard} is cut off and released queue ${queue}`;
      return err(createFailure('noOwner', detail, 1));
    }
    return this.#components.acceptance.submit(call);
  }

  /**
   * Checks whether the acceptance of a request is not committed yet.
   *
   * @param requestId - identifier of the request
   * @returns true until the journal has confirmed it
   */
  public isCommitting(requestId: string): boolean {
    return this.#components.acceptance.isCommitting(requestId);
  }

  /**
   * Writes an unfinished request to the journal, because its caller stops waiting.
   *
   * @param requestId - identifier of the request
   */
  public persistRequest(requestId: string): void {
    const record = this.#components.table.find(requestId);
    if (record !== undefined) this.#components.acceptance.persistRequest(record);
  }

  /**
   * Checks whether no commit for a request is in progress.
   *
   * @param requestId - identifier of the request
   * @returns false while the commit of its acceptance or of its completion is in progress
   */
  public isJournalSettled(requestId: string): boolean {
    const record = this.#components.table.find(requestId);
    if (record === undefined) return true;
    if (this.#components.lifecycle.isWriting(record)) return false;
    return record.isFinished || record.isDurable || !record.isAccepted;
  }

  /**
   * Applies the result of a commit.
   *
   * @param ticket - ticket of the effect
   * @param failure - reason why the entry is not in the journal; undefined if it is
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
   * @returns the state; `unknownRequest` if there is no such request of the team
   */
  public read(requestId: string, team?: string): Result<RequestView, Failure> {
    return this.#find(requestId, team).map((record) => record.describe());
  }

  /**
   * Records that a caller is interested in a request.
   *
   * @param requestId - identifier of the request
   */
  public registerInterest(requestId: string): void {
    const record = this.#components.table.find(requestId);
    if (record !== undefined) this.#components.lifecycle.registerInterest(record);
  }

  /**
   * Checks whether a caller can stop waiting for a request.
   *
   * @param requestId - identifier of the request
   * @returns true if the request is answered or not known to this shard
   */
  public isWaitOver(requestId: string): boolean {
    const record = this.#components.table.find(requestId);
    return record === undefined || isAnswered(record.describe());
  }

  /**
   * Checks whether this shard has a record of a request.
   *
   * @param requestId - identifier of the request
   * @returns true if it has one
   */
  public hasRequest(requestId: string): boolean {
    return this.#components.table.find(requestId) !== undefined;
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns the state after the cancellation began; `unknownRequest` if there is no such request of the team
   */
  public cancel(requestId: string, team?: string): Result<RequestView, Failure> {
    return this.#find(requestId, team).map((record) => {
      this.#components.lifecycle.cancel(record);
      return record.describe();
    });
  }

  /**
   * Adds a request that a lost data centre may have started and that must not be started again.
   *
   * @param request - the request
   */
  public addOutcomeUnknown(request: SubmitCall['request']): void {
    this.#components.takeoverReceiver.addOutcomeUnknown(request);
  }

  /**
   * Takes over requests of a lost shard that were assigned to this one.
   *
   * @param entries - journal of the lost shard, oldest first
   * @param ids - identifiers of the requests that were assigned to this shard
   * @returns true once the journal of this shard has all of them
   */
  public takeOver(entries: readonly JournalEntry[], ids: ReadonlySet<string>): boolean {
    return this.#components.takeoverReceiver.takeOver(entries, ids);
  }

  /** Resumes the requests that were held back once recovery is complete. */
  public finishRecovery(): void {
    const { keyRing } = this.#settings;
    const hasFinished = this.#components.restorer.finishRecovery();
    if (hasFinished && keyRing !== undefined) this.applyKeys(keyRing);
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
