import {
  createFailure,
  errorTable,
  isAnswered,
  periods,
  type Clock,
  type EventRecorder,
  type Policy,
  type RandomSource,
  type Router,
  type TakeoverBook,
} from '@toucanline/core';
import type { PeerSet } from '@toucanline/runtime';
import type { Failure, Request, RequestView, SubmitCall, WaitCall } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { OpenRequests } from './OpenRequests.js';
import type { OwnerAnswer } from './OwnerAnswer.js';
import { OwnerCalls } from './OwnerCalls.js';

/**
 * Longest wait of one call to a scheduler, in milliseconds. A link that fails ends the call earlier, so short
 * waits bring nothing but traffic for each caller that waits.
 */
const sliceMs = 30_000;
/** Time for the transport of a call and its reply, in milliseconds. */
const marginMs = 2000;
const submitTimeoutMs = 5000;
/** Age of a load notice above which its owner counts as silent, in milliseconds. */
const freshMs = 3000;
const retryMs = 200;
const maxHops = 3;
/** Time for a shard to get a new owner before a request is refused for lack of one, in milliseconds. */
const ownerWaitMs = 10_000;
const maxRetryMs = 1000;
/** Time for a request to get into the journal before its caller is told that it is not there yet. */
const keepWaitMs = 4000;
/** Time within which each entry has handed in what it holds to a new owner, in milliseconds. */
const resubmissionMs = 10_000;

/** Failures that prove that the shard does not hold the request, so that another may take it. */
const passedOn: ReadonlySet<Failure['kind']> = new Set([
  'notOwner',
  'noOwner',
  'overloaded',
  'notReady',
]);

/** Failures that end once a new owner serves the shard. */
const betweenOwners: ReadonlySet<Failure['kind']> = new Set(['notOwner', 'notReady']);

/** Failures after which the shard may hold the request. */
const undecided: ReadonlySet<Failure['kind']> = new Set(['linkLost', 'timeout']);

/** Failures of an owner that has no record of a request. */
const unrecorded: ReadonlySet<Failure['kind']> = new Set(['unknownRequest', 'recordMissing']);

/** States of a request that has ended. */
const finalStates: ReadonlySet<RequestView['state']> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'refused',
  'unknown',
]);

/** An answer of an older owner of the same shard, or of an older attempt under the same owner. */
const isOlder = (next: OwnerAnswer, known: OwnerAnswer): boolean =>
  next.shard === known.shard &&
  (next.epoch < known.epoch ||
    (next.epoch === known.epoch && next.view.attempt < known.view.attempt));

/** Attached requests that an entry has open, each with about 1 KB of memory and one pending call. */
const openBounds = { total: 10_000, perTeam: 5000 } as const;

/** A request that a shard may hold, although no answer of its owner came back. */
const describeOffered = ({ id, team, queue, kind, size }: Request): RequestView => ({
  id,
  team,
  queue,
  kind,
  size,
  state: 'waiting',
  ran: 'unknown',
  attempt: 0,
  tasks: [],
  durable: false,
  reason: 'the owner of the shard has not answered yet',
});

/** What the service works with. */
interface ServiceParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
  readonly router: Router;
  readonly peers: Pick<PeerSet, 'call'>;
  /** Reads what passed from lost data centres to others. */
  readonly readTakeovers: () => TakeoverBook;
}

/** A request of a caller with its bounds. */
interface Submission {
  readonly request: Request;
  readonly policy: Policy;
  readonly detached: SubmitCall['detached'];
  /** Local monotonic time of the deadline, in milliseconds. */
  readonly deadlineAt: number;
  /** Local monotonic time until which the caller waits, in milliseconds. */
  readonly waitUntil: number;
}

/** A submission that was offered to a shard. */
interface HeldSubmission extends Submission {
  /** Local monotonic time since which the shard may hold it, in milliseconds. */
  readonly offeredAt: number;
}

/** Carries requests to the owners of shards and their answers back. */
export class RequestService {
  readonly #parts: ServiceParts;
  readonly #open = new OpenRequests(openBounds);
  readonly #owners: OwnerCalls;

  /** @param parts - what the service works with */
  public constructor(parts: ServiceParts) {
    this.#parts = parts;
    this.#owners = new OwnerCalls(parts);
  }

  /**
   * Finds a shard for a request, hands it in and waits for its answer. While no shard has an owner, for
   * example during a failover, the request is kept back for a bounded time.
   *
   * @param submission - the request
   * @returns its state when the wait ended; or the failure
   */
  public async submit(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { detached, team } = submission.request;
    if (detached) return this.#place(submission);
    const counted = this.#open.take(team);
    if (counted.isErr()) return err(counted.error);
    const result = await this.#place(submission);
    this.#open.release(team);
    return result;
  }

  async #place(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { clock } = this.#parts;
    const endsAt = Math.min(submission.deadlineAt, clock.now() + ownerWaitMs);
    for (;;) {
      const result = await this.#offerAll(submission);
      if (result.isOk() || !betweenOwners.has(result.error.kind)) return result;
      if (clock.now() >= endsAt) {
        return err(createFailure('noOwner', 'no shard has a reachable owner', 1));
      }
      await clock.sleep(retryMs);
    }
  }

  async #offerAll(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { router, recorder } = this.#parts;
    const { request, policy } = submission;
    const { team, idempotencyKey } = request;
    const home =
      idempotencyKey === undefined ? undefined : router.chooseHome(policy, team, idempotencyKey);
    const shards = home === undefined ? router.orderShards(policy, request) : [home];
    let last = createFailure('notOwner', 'no shard has a reachable owner', 1);
    for (const shard of shards.slice(0, maxHops)) {
      const offered = { ...request, id: `${shard}.${request.id}` };
      recorder.record('requestRouted', { requestId: offered.id, shard, team });
      const accepted = { ...submission, request: offered, offeredAt: this.#parts.clock.now() };
      const result = await this.#offer(shard, accepted);
      if (result.isOk()) return this.#answer(shard, accepted, result.value);
      last = result.error;
      if (!passedOn.has(last.kind)) break;
    }
    return err(last);
  }

  /**
   * Waits for the answer as long as the caller does. An attached request that goes on after that is first
   * written to the journal, so that it outlasts this entry. Until the journal has it, no other process may
   * know of it: the entry keeps it and hands it in again after a failover.
   */
  async #answer(
    shard: string,
    submission: HeldSubmission,
    first: OwnerAnswer,
  ): Promise<Result<RequestView, Failure>> {
    const result = await this.#waitForAnswer(shard, submission, first);
    if (result.isErr() || !this.#mustKeep(result.value.view)) return result.map(({ view }) => view);
    const kept = await this.#keep(submission, result.value);
    if (this.#mustKeep(kept.view)) void this.#hold(shard, submission, kept);
    return ok(kept.view);
  }

  /** A running service is an answer, but goes on. */
  #mustKeep({ state, durable }: RequestView): boolean {
    return durable !== true && !finalStates.has(state);
  }

  /** Asks the owner, and after a failover the next one, to write a request to the journal. */
  async #keep(submission: HeldSubmission, first: OwnerAnswer): Promise<OwnerAnswer> {
    const { clock } = this.#parts;
    const endsAt = clock.now() + keepWaitMs;
    for (let failures = 0; clock.now() < endsAt; failures += 1) {
      const result = await this.#ask(submission, first, { waitMs: 0, keep: true });
      // The owner tells at once if the store does not take the request.
      if (result.isOk() && !isOlder(result.value, first)) return result.value;
      if (result.isErr() && !this.#mayRecover(result.error)) break;
      await clock.sleep(this.#chooseDelay(failures));
    }
    return first;
  }

  /** Asks for a request. An owner that does not know it gets it again. */
  async #ask(
    submission: HeldSubmission,
    { view, epoch }: OwnerAnswer,
    options: Pick<WaitCall, 'waitMs' | 'keep'>,
  ): Promise<Result<OwnerAnswer, Failure>> {
    const { team } = submission.request;
    const body = { call: 'wait', requestId: view.id, team, handsIn: true, ...options } as const;
    const asked = await this.#owners.call(view.id, body, options.waitMs + marginMs);
    if (asked.isOk() || asked.error.kind !== 'unknownRequest') return asked;
    const remainingMs = submission.deadlineAt - this.#parts.clock.now();
    // Under the id that the caller was told, which is that of the first request with the same key.
    const told = { ...submission, request: { ...submission.request, id: view.id } };
    const handedIn = await this.#handIn(this.#owners.findShard(view.id), told, remainingMs, epoch);
    if (handedIn.isErr() || options.keep !== true) return handedIn;
    const { id } = handedIn.value.view;
    return this.#owners.call(id, { ...body, requestId: id, waitMs: 0 }, marginMs);
  }

  async #hold(shard: string, submission: HeldSubmission, last: OwnerAnswer): Promise<void> {
    const { deadlineAt, request } = submission;
    this.#open.add(request.team);
    await this.#waitForAnswer(shard, { ...submission, waitUntil: deadlineAt }, last, true);
    this.#open.release(request.team);
  }

  /**
   * Waits until a request is answered.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @param waitMs - longest wait in milliseconds
   * @returns its state when the wait ended; or the failure
   */
  public async wait(
    requestId: string,
    team: string | undefined,
    waitMs: number,
  ): Promise<Result<RequestView, Failure>> {
    const { clock } = this.#parts;
    const endsAt = clock.now() + waitMs;
    for (;;) {
      const leftMs = Math.max(0, Math.min(endsAt - clock.now(), sliceMs));
      const body = {
        call: 'wait',
        requestId,
        waitMs: leftMs,
        ...(team === undefined ? {} : { team }),
      } as const;
      const result = await this.#owners.call(requestId, body, leftMs + marginMs);
      const isOver = clock.now() >= endsAt;
      if (result.isOk() && (isAnswered(result.value.view) || isOver)) {
        return ok(result.value.view);
      }
      if (result.isErr() && (isOver || !this.#mayReturn(requestId, result.error))) {
        return err(this.#describeUnreached(result.error));
      }
      if (result.isErr()) await clock.sleep(retryMs);
    }
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns its state; or the failure
   */
  public async cancel(
    requestId: string,
    team: string | undefined,
  ): Promise<Result<RequestView, Failure>> {
    const { clock, router } = this.#parts;
    const body = { call: 'cancel', requestId, ...(team === undefined ? {} : { team }) } as const;
    const isKnown = router.findLoad(requestId.split('.')[0] ?? '') !== undefined;
    const endsAt = clock.now() + (isKnown ? ownerWaitMs : 0);
    for (;;) {
      const result = await this.#owners.call(requestId, body, submitTimeoutMs);
      if (result.isOk()) return ok(result.value.view);
      const isOver = !this.#mayReturn(requestId, result.error) || clock.now() >= endsAt;
      if (isOver) return err(this.#describeUnreached(result.error));
      await clock.sleep(retryMs);
    }
  }

  /** After a change of the owner, the entry that holds a request hands it in again within seconds. */
  #mayReturn(requestId: string, failure: Failure): boolean {
    if (this.#mayRecover(failure)) return true;
    const changedAt = this.#parts.router.findOwnerChange(requestId.split('.')[0] ?? '');
    const isRecent = this.#parts.clock.now() - changedAt < resubmissionMs;
    return unrecorded.has(failure.kind) && isRecent;
  }

  /** That a question about a request reached no owner does not tell whether the request ran. */
  #describeUnreached(failure: Failure): Failure {
    return passedOn.has(failure.kind) ? createFailure('linkLost', failure.detail, 1) : failure;
  }

  #mayRecover(failure: Failure): boolean {
    return passedOn.has(failure.kind) || undecided.has(failure.kind);
  }

  /**
   * Offers a request to one shard. Once the shard may hold it, it is handed in again, under the same
   * id, until the shard answers: no other shard may get it.
   */
  async #offer(shard: string, submission: HeldSubmission): Promise<Result<OwnerAnswer, Failure>> {
    const { clock, router } = this.#parts;
    let heldEpoch: number | undefined;
    const endsAt = Math.max(submission.waitUntil, clock.now() + ownerWaitMs);
    for (let handIn = 0; clock.now() < endsAt; handIn += 1) {
      const remainingMs = submission.deadlineAt - clock.now();
      if (remainingMs <= 0) break;
      const epoch = router.findLoad(shard)?.epoch ?? 0;
      const result = await this.#handIn(shard, submission, remainingMs, heldEpoch);
      if (result.isOk()) return result;
      const isPassedOn = heldEpoch === undefined && passedOn.has(result.error.kind);
      if (isPassedOn || !this.#mayRecover(result.error)) return result;
      if (undecided.has(result.error.kind)) heldEpoch ??= epoch;
      const followed = await this.#followTakeover(
        shard,
        submission,
        heldEpoch === undefined ? undefined : Math.max(heldEpoch, epoch),
      );
      if (followed !== undefined) return followed;
      await clock.sleep(this.#chooseDelay(handIn));
    }
    if (heldEpoch === undefined) return err(createFailure('deadlinePassed', 'the deadline passed'));
    const isOpen = !submission.request.detached && clock.now() < submission.deadlineAt;
    if (isOpen) return ok({ view: describeOffered(submission.request), epoch: heldEpoch, shard });
    return err(createFailure('outcomeUnknown', 'the owner of the shard did not answer in time'));
  }

  /**
   * Hands a request whose shard lost its work to another one. A non-idempotent request only ends there,
   * because the lost data centre may have started it.
   *
   * @returns undefined if the shard did not lose it, has an owner again, or no other shard took it yet
   */
  async #followTakeover(
    shard: string,
    submission: HeldSubmission,
    heldEpoch: number | undefined,
  ): Promise<Result<OwnerAnswer, Failure> | undefined> {
    const { request, policy } = submission;
    const { router, clock, readTakeovers } = this.#parts;
    const { id, queue } = request;
    if (heldEpoch === undefined || this.#owners.findShard(id) !== shard) return undefined;
    const takeover = readTakeovers().findTakeover(shard, queue, heldEpoch);
    const isBack = (router.findLoad(shard, freshMs)?.epoch ?? 0) > (takeover?.epoch ?? 0);
    if (takeover === undefined || isBack) return undefined;
    // The journal of the lost shard has a detached request, and the record says who takes it.
    if (request.detached) return undefined;
    for (const successor of router.orderShards(policy, request).slice(0, maxHops)) {
      if (successor === shard) continue;
      const remainingMs = submission.deadlineAt - clock.now();
      this.#owners.noteSuccessor(id, successor);
      const result = await this.#handIn(successor, submission, remainingMs, undefined);
      if (result.isOk()) return result;
      if (!passedOn.has(result.error.kind)) return undefined;
      this.#owners.forgetSuccessor(id);
    }
    return undefined;
  }

  #handIn(
    shard: string,
    { request, detached, offeredAt }: HeldSubmission,
    remainingMs: number,
    heldEpoch: number | undefined,
  ): Promise<Result<OwnerAnswer, Failure>> {
    const body: SubmitCall = {
      call: 'submit',
      shard,
      request,
      remainingMs,
      detached,
      stamp: this.#parts.recorder.stamp(),
      ...(heldEpoch === undefined
        ? {}
        : { heldEpoch, heldMs: this.#parts.clock.now() - offeredAt }),
    };
    return this.#owners.call(request.id, body, Math.min(submitTimeoutMs, remainingMs + marginMs));
  }

  /**
   * Waits for the answer, and with `keep` also until the journal has a service that runs. An owner that does
   * not know the request gets it again, together with the epoch of the owner that held it: that is proof for
   * neither a start nor its absence.
   */
  async #waitForAnswer(
    shard: string,
    submission: HeldSubmission,
    first: OwnerAnswer,
    keep = false,
  ): Promise<Result<OwnerAnswer, Failure>> {
    const { clock, recorder, router } = this.#parts;
    let answer = first;
    /** Highest epoch of an owner of the shard that may hold the request. */
    let heldEpoch = first.epoch;
    let failures = 0;
    const isOpen = ({ view }: OwnerAnswer): boolean =>
      !isAnswered(view) || (keep && this.#mustKeep(view));
    while (isOpen(answer) && clock.now() < submission.waitUntil) {
      const waitMs = Math.min(sliceMs, submission.waitUntil - clock.now());
      heldEpoch = Math.max(heldEpoch, router.findLoad(shard)?.epoch ?? 0);
      const result = await this.#ask(submission, answer, { waitMs, keep });
      if (result.isErr()) {
        if (!this.#mayRecover(result.error)) return err(this.#doubt(result.error));
        const followed = await this.#followTakeover(shard, submission, heldEpoch);
        if (followed !== undefined) {
          if (followed.isErr()) return err(followed.error);
          answer = followed.value;
          failures = 0;
          continue;
        }
        await clock.sleep(this.#chooseDelay(failures));
        failures += 1;
      } else if (isOlder(result.value, answer)) {
        recorder.record('lateAnswerDropped', { requestId: answer.view.id });
      } else {
        answer = result.value;
        failures = 0;
        // The owner of a service that runs answers at once, also if the journal does not have it.
        if (isOpen(answer) && isAnswered(answer.view)) await clock.sleep(maxRetryMs);
      }
    }
    if (isAnswered(answer.view)) this.#owners.forgetSuccessor(answer.view.id);
    return ok(answer);
  }

  /** A new owner's refusal says nothing about what the former owner did. */
  #doubt(failure: Failure): Failure {
    if (errorTable[failure.kind].ran !== 'no') return failure;
    const detail = `an earlier owner held the request; the new one refused it: ${failure.detail}`;
    return createFailure('outcomeUnknown', detail);
  }

  /** Exponential delay with jitter, so that the entries do not return to a new owner at once. */
  #chooseDelay(failures: number): number {
    const delayMs = Math.min(periods.firstRetryMs * 2 ** failures, maxRetryMs);
    return delayMs * (0.5 + this.#parts.random.next() / 2);
  }
}
