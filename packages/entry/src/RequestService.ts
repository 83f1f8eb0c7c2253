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
import type {
  CallBody,
  Failure,
  ReplyBody,
  Request,
  RequestView,
  SubmitCall,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';

/** Longest wait of one call to a scheduler, in milliseconds. */
const sliceMs = 10_000;
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

/** An answer of an older owner of the same shard, or of an older attempt under the same owner. */
const isOlder = (next: Answer, known: Answer): boolean =>
  next.shard === known.shard &&
  (next.epoch < known.epoch ||
    (next.epoch === known.epoch && next.view.attempt < known.view.attempt));

/** Requests that an entry keeps after their caller's wait; bounds its memory and its calls. */
const maxHeld = 5000;

/** What the service works with. */
interface ServiceParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
  readonly router: Router;
  readonly peers: PeerSet;
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

/** A view together with the epoch of the owner that gave it. */
interface Answer {
  readonly view: RequestView;
  readonly epoch: number;
  readonly shard: string;
}

/** Carries requests to the owners of shards and their answers back. */
export class RequestService {
  readonly #parts: ServiceParts;
  /** Requests that are held after their caller's wait ended. */
  #held = 0;
  /** Shards that were asked to take attached requests over, by request. */
  readonly #heirs = new Map<string, string>();

  /** @param parts - what the service works with */
  public constructor(parts: ServiceParts) {
    this.#parts = parts;
  }

  /**
   * Finds a shard for a request, hands it in and waits for its answer. While no shard has an owner, for
   * example during a failover, the request is kept back for a bounded time.
   *
   * @param submission - the request
   * @returns its state when the wait ended; or the failure
   */
  public async submit(submission: Submission): Promise<Result<RequestView, Failure>> {
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
   * Waits for the answer as long as the caller does. After that the entry keeps an attached request and
   * hands it in again after a failover, because no other process may know of it.
   */
  async #answer(
    shard: string,
    submission: HeldSubmission,
    first: Answer,
  ): Promise<Result<RequestView, Failure>> {
    const result = await this.#waitForAnswer(shard, submission, first);
    const isOpen = result.isOk() && !isAnswered(result.value);
    if (isOpen && !submission.request.detached && this.#held < maxHeld) {
      void this.#hold(shard, submission, { ...first, view: result.value });
    }
    return result;
  }

  async #hold(shard: string, submission: HeldSubmission, last: Answer): Promise<void> {
    this.#held += 1;
    await this.#waitForAnswer(shard, { ...submission, waitUntil: submission.deadlineAt }, last);
    this.#held -= 1;
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
      const result = await this.#callOwner(requestId, body, leftMs + marginMs);
      const isOver = clock.now() >= endsAt;
      if (result.isOk() && (isAnswered(result.value.view) || isOver)) {
        return ok(result.value.view);
      }
      if (result.isErr() && (isOver || !this.#mayReturn(requestId, result.error))) {
        return err(result.error);
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
      const result = await this.#callOwner(requestId, body, submitTimeoutMs);
      if (result.isOk()) return ok(result.value.view);
      const isOver = !this.#mayReturn(requestId, result.error) || clock.now() >= endsAt;
      if (isOver) return err(result.error);
      await clock.sleep(retryMs);
    }
  }

  /** After a change of the owner, the entry that holds a request hands it in again within seconds. */
  #mayReturn(requestId: string, failure: Failure): boolean {
    if (this.#mayRecover(failure)) return true;
    const changedAt = this.#parts.router.findOwnerChange(requestId.split('.')[0] ?? '');
    const isRecent = this.#parts.clock.now() - changedAt < resubmissionMs;
    return failure.kind === 'unknownRequest' && isRecent;
  }

  #mayRecover(failure: Failure): boolean {
    return passedOn.has(failure.kind) || undecided.has(failure.kind);
  }

  /**
   * Offers a request to one shard. Once the shard may hold it, it is handed in again, under the same
   * id, until the shard answers: no other shard may get it.
   */
  async #offer(shard: string, submission: HeldSubmission): Promise<Result<Answer, Failure>> {
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
  ): Promise<Result<Answer, Failure> | undefined> {
    const { request, policy } = submission;
    const { router, clock, readTakeovers } = this.#parts;
    const { id, queue } = request;
    if (heldEpoch === undefined || this.#findShard(id) !== shard) return undefined;
    const takeover = readTakeovers().findTakeover(shard, queue, heldEpoch);
    const isBack = (router.findLoad(shard, freshMs)?.epoch ?? 0) > (takeover?.epoch ?? 0);
    if (takeover === undefined || isBack) return undefined;
    // The journal of the lost shard has a detached request, and the record says who takes it.
    if (request.detached) return undefined;
    for (const heir of router.orderShards(policy, request).slice(0, maxHops)) {
      if (heir === shard) continue;
      const remainingMs = submission.deadlineAt - clock.now();
      this.#heirs.set(id, heir);
      const result = await this.#handIn(heir, submission, remainingMs, undefined);
      if (result.isOk()) return result;
      if (!passedOn.has(result.error.kind)) return undefined;
      this.#heirs.delete(id);
    }
    return undefined;
  }

  /** Finds the shard that has a request now. */
  #findShard(requestId: string): string {
    const heir = this.#parts.readTakeovers().findHeir(requestId) ?? this.#heirs.get(requestId);
    return heir ?? requestId.split('.')[0] ?? '';
  }

  #handIn(
    shard: string,
    { request, detached, offeredAt }: HeldSubmission,
    remainingMs: number,
    heldEpoch: number | undefined,
  ): Promise<Result<Answer, Failure>> {
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
    return this.#callOwner(request.id, body, Math.min(submitTimeoutMs, remainingMs + marginMs));
  }

  /**
   * Waits for the answer. An owner that does not know the request gets it again, together with the epoch
   * of the owner that held it: that is proof for neither a start nor its absence.
   */
  async #waitForAnswer(
    shard: string,
    submission: HeldSubmission,
    first: Answer,
  ): Promise<Result<RequestView, Failure>> {
    const { clock, recorder, router } = this.#parts;
    let answer = first;
    /** Highest epoch of an owner that may hold the request. */
    let heldEpoch = first.epoch;
    let failures = 0;
    while (!isAnswered(answer.view) && clock.now() < submission.waitUntil) {
      const { id } = answer.view;
      const waitMs = Math.min(sliceMs, submission.waitUntil - clock.now());
      const body = { call: 'wait', requestId: id, team: submission.request.team, waitMs } as const;
      let result = await this.#callOwner(id, body, waitMs + marginMs);
      if (result.isErr() && result.error.kind === 'unknownRequest') {
        const remainingMs = submission.deadlineAt - clock.now();
        heldEpoch = Math.max(heldEpoch, router.findLoad(shard)?.epoch ?? 0);
        result = await this.#handIn(this.#findShard(id), submission, remainingMs, answer.epoch);
      }
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
        recorder.record('lateAnswerDropped', { requestId: id });
      } else {
        answer = result.value;
        if (answer.shard === shard) heldEpoch = Math.max(heldEpoch, answer.epoch);
        failures = 0;
      }
    }
    if (isAnswered(answer.view)) this.#heirs.delete(answer.view.id);
    return ok(answer.view);
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

  async #callOwner(
    requestId: string,
    body: CallBody,
    timeoutMs: number,
  ): Promise<Result<Answer, Failure>> {
    const shard = this.#findShard(requestId);
    const address = this.#parts.router.findLoad(shard)?.address;
    if (address === undefined) {
      return err(createFailure('notOwner', `no owner of shard ${shard} is known`, 1));
    }
    const reply = await this.#parts.peers.call(address, body, timeoutMs);
    return reply
      .mapErr((failure) =>
        failure.kind === 'noOwner' ? { ...failure, kind: 'notOwner' as const } : failure,
      )
      .andThen((content) => this.#readView(content, shard));
  }

  #readView(reply: ReplyBody, shard: string): Result<Answer, Failure> {
    if (reply.reply === 'view') return ok({ view: reply.view, epoch: reply.epoch, shard });
    if (reply.reply === 'failure') return err(reply.failure);
    return err(createFailure('internal', `unexpected reply ${reply.reply}`));
  }
}
