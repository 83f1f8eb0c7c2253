import { createFailure, isAnswered, validateValue, type Policy } from '@toucanline/core';
import { hashText, type ProcessRuntime } from '@toucanline/runtime';
import {
  validators,
  type Failure,
  type Key,
  type QueueSection,
  type Request,
  type RequestSpecification,
  type RequestView,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Authenticator } from './Authenticator.js';
import type { HttpContext } from './HttpContext.js';
import { readBody } from '@toucanline/runtime/readBody';
import type { RequestService } from './RequestService.js';

const maxBodyBytes = 262_144;
const maxWaitSeconds = 30;
const defaultWaitSeconds = 20;
const defaultRunTimeSeconds = 60;

/** Request of a caller that has passed all checks of the entry. */
interface ValidatedRequest {
  readonly request: Request;
  readonly policy: Policy;
  readonly detached: 'no' | 'yes' | 'prefer';
  readonly deadlineMs: number;
}

/** HTTP routes of callers: submit a request, wait for it and cancel it. */
export class RequestRoutes {
  readonly #runtime: ProcessRuntime;
  readonly #authenticator: Authenticator;
  readonly #service: RequestService;

  /**
   * @param runtime - runtime of the process
   * @param authenticator - authenticates callers
   * @param service - forwards requests to the owners of shards
   */
  public constructor(
    runtime: ProcessRuntime,
    authenticator: Authenticator,
    service: RequestService,
  ) {
    this.#runtime = runtime;
    this.#authenticator = authenticator;
    this.#service = service;
  }

  /**
   * Handles `POST /v1/queues/{queue}/requests`.
   *
   * @param context - the HTTP request and its response
   */
  public async submit(context: HttpContext): Promise<void> {
    const body = await readBody(context.request, maxBodyBytes);
    const waitSeconds = this.#readWaitSeconds(context);
    if (waitSeconds.isErr() || body.isErr()) {
      context.sendFailure(body.isErr() ? body.error : waitSeconds._unsafeUnwrapErr());
      return;
    }
    const validated = this.#validate(context, body.value);
    if (validated.isErr()) {
      const { kind, detail } = validated.error;
      this.#runtime.recorder.record('requestRefused', { detail: `${kind}: ${detail}` });
      context.sendFailure(validated.error);
      return;
    }
    const { request } = validated.value;
    const { clock, recorder } = this.#runtime;
    const receivedAt = clock.now();
    recorder.record('requestReceived', { team: request.team, detail: request.queue });
    const result = await this.#submitValidated(
      validated.value,
      receivedAt,
      waitSeconds.value * 1000,
    );
    if (result.isErr()) {
      context.sendFailure(result.error);
      return;
    }
    const view = result.value;
    const durationMs = clock.now() - receivedAt;
    recorder.record('requestAnswered', { requestId: view.id, detail: view.state, durationMs });
    context.sendView(view, isAnswered(view));
  }

  /**
   * Handles `GET /v1/requests/{id}`.
   *
   * @param context - the HTTP request and its response
   */
  public async wait(context: HttpContext): Promise<void> {
    const caller = this.#authenticateCaller(context);
    const waitSeconds = this.#readWaitSeconds(context, 0);
    if (caller.isErr() || waitSeconds.isErr()) {
      context.sendFailure(caller.isErr() ? caller.error : waitSeconds._unsafeUnwrapErr());
      return;
    }
    const id = context.request.params.id ?? '';
    const result = await this.#service.wait(id, caller.value.team, waitSeconds.value * 1000);
    if (result.isErr()) context.sendFailure(result.error, id);
    else context.sendView(result.value, isAnswered(result.value));
  }

  /**
   * Handles `DELETE /v1/requests/{id}`.
   *
   * @param context - the HTTP request and its response
   */
  public async cancel(context: HttpContext): Promise<void> {
    const caller = this.#authenticateCaller(context);
    if (caller.isErr()) {
      context.sendFailure(caller.error);
      return;
    }
    const id = context.request.params.id ?? '';
    const result = await this.#service.cancel(id, caller.value.team);
    if (result.isErr()) context.sendFailure(result.error, id);
    else context.sendView(result.value, isAnswered(result.value));
  }

  /** Submits a request. One that prefers to be detached is submitted as attached if the journal did not accept it. */
  async #submitValidated(
    { request, policy, detached, deadlineMs }: ValidatedRequest,
    receivedAt: number,
    waitMs: number,
  ): Promise<Result<RequestView, Failure>> {
    const limits = { policy, deadlineAt: receivedAt + deadlineMs, waitUntil: receivedAt + waitMs };
    const waitUntil = detached === 'yes' ? receivedAt : limits.waitUntil;
    const result = await this.#service.submit({ ...limits, request, detached, waitUntil });
    const failure = result.match(
      (view) => (view.state === 'refused' ? view.failure : undefined),
      (error) => error,
    );
    if (detached !== 'prefer' || failure?.kind !== 'storeUnavailable') return result;
    // A new id, because the shard keeps the refused request with its outcome.
    const attached = { ...request, id: this.#runtime.random.token(), detached: false };
    return this.#service.submit({ ...limits, request: attached, detached: 'no' });
  }

  /**
   * Determines the team whose requests a caller may access: without a key the team of the open queues; an operator may
   * access the requests of all teams.
   */
  #authenticateCaller(
    context: HttpContext,
  ): Result<{ readonly team: string | undefined }, Failure> {
    return this.#authenticator.authenticate(context.request).andThen((key) => {
      if (key?.team !== undefined) return ok({ team: key.team });
      if (key?.roles.includes('read') === true) return ok({ team: undefined });
      if (key !== undefined)
        return err(createFailure('forbidden', `the key ${key.id} has no team`));
      return this.#findOpenTeam(context);
    });
  }

  #findOpenTeam(context: HttpContext): Result<{ readonly team: string }, Failure> {
    const { policy } = this.#runtime.configurationHolder;
    const queues = Object.values(policy?.document.queues ?? {});
    const teams = new Set(
      queues.flatMap(({ open, team }) => (open === true && team ? [team] : [])),
    );
    const [team] = teams;
    if (team === undefined || teams.size > 1) {
      const path = context.request.url ?? '';
      return err(createFailure('unauthenticated', `a key is required for ${path}`));
    }
    return ok({ team });
  }

  #readWaitSeconds(context: HttpContext, fallback = defaultWaitSeconds): Result<number, Failure> {
    const { wait } = context.request.query;
    if (wait === undefined) return ok(fallback);
    const seconds = Number(wait);
    if (Number.isFinite(seconds) && seconds >= 0) return ok(Math.min(seconds, maxWaitSeconds));
    return err(
      createFailure(
        'malformedRequest',
        `wait: found ${String(wait)}; allowed: 0 to ${maxWaitSeconds}`,
      ),
    );
  }

  #validate(context: HttpContext, text: string): Result<ValidatedRequest, Failure> {
    const { policy } = this.#runtime.configurationHolder;
    if (policy === undefined)
      return err(createFailure('notReady', 'no configuration is known yet', 1));
    const name = context.request.params.queue ?? '';
    const queue = policy.findQueue(name);
    if (queue === undefined) return err(createFailure('unknownQueue', `no queue ${name}`));
    return this.#authenticator
      .authenticate(context.request)
      .andThen((key) => this.#checkKeyGrace(policy, name, key))
      .andThen((key) => this.#chooseTeam(name, queue, key))
      .andThen(({ team, keyId }) =>
        this.#parse(text).andThen((specification) =>
          this.#createRequest(context, policy, name, queue, { team, keyId, text, specification }),
        ),
      );
  }

  /**
   * Refuses keys once the key list is older than the grace period of the queue, because a partitioned process cannot
   * learn that a key was withdrawn.
   */
  #checkKeyGrace(
    policy: Policy,
    queue: string,
    key: Key | undefined,
  ): Result<Key | undefined, Failure> {
    const { ageMs } = this.#runtime.keyListAge;
    if (key === undefined || ageMs <= policy.readKeyGraceMs(queue)) return ok(key);
    const period = Number.isFinite(ageMs) ? `for ${Math.round(ageMs / 1000)} s` : 'since the start';
    const detail = `the keys could not be confirmed ${period}: neither the store nor an up-to-date peer responds`;
    return err(createFailure('notReady', detail, 1));
  }

  #chooseTeam(
    name: string,
    queue: QueueSection,
    key: Key | undefined,
  ): Result<{ readonly team: string; readonly keyId: string | undefined }, Failure> {
    if (key?.team === undefined) {
      if (queue.open === true && queue.team !== undefined)
        return ok({ team: queue.team, keyId: undefined });
      if (key !== undefined)
        return err(createFailure('forbidden', `the key ${key.id} has no team`));
      return err(createFailure('unauthenticated', `the queue ${name} requires a key`));
    }
    const canUseQueue = queue.teams === undefined || queue.teams.includes(key.team);
    if (!canUseQueue || !key.roles.includes('submit')) {
      return err(createFailure('forbidden', `the key ${key.id} may not use the queue ${name}`));
    }
    return ok({ team: key.team, keyId: key.id });
  }

  #parse(text: string): Result<RequestSpecification, Failure> {
    let data: unknown;
    try {
      data = JSON.parse(text);
    } catch {
      return err(createFailure('malformedRequest', 'the body is not JSON'));
    }
    return validateValue(validators.RequestSpecification, data);
  }

  #createRequest(
    context: HttpContext,
    policy: Policy,
    queueName: string,
    queue: QueueSection,
    caller: {
      readonly team: string;
      readonly keyId: string | undefined;
      readonly text: string;
      readonly specification: RequestSpecification;
    },
  ): Result<ValidatedRequest, Failure> {
    const { team, keyId, text, specification } = caller;
    const deadlineMs = Math.min(
      specification.deadlineSeconds === undefined ? Infinity : specification.deadlineSeconds * 1000,
      policy.readMaxDeadlineMs(queueName),
    );
    if (deadlineMs <= 0) return err(createFailure('deadlinePassed', 'the deadline is in the past'));
    const { size, acceleratorType } = specification;
    if (size.processors + size.memoryMb + size.accelerators === 0) {
      return err(
        createFailure(
          'malformedRequest',
          'size: found no resources; allowed: at least one above 0',
        ),
      );
    }
    if (!policy.canEverFit(size, acceleratorType)) {
      return err(createFailure('neverFits', 'no worker class is large enough for one task'));
    }
    const key = context.request.headers['idempotency-key'];
    if (key !== undefined && (typeof key !== 'string' || key === '' || key.length > 255)) {
      return err(
        createFailure('malformedRequest', 'Idempotency-Key: allowed: 1 to 255 characters'),
      );
    }
    const detached = specification.detached ?? 'no';
    const { clock, random } = this.#runtime;
    const request: Request = {
      id: random.token(),
      digest: hashText(`${queueName}\n${text}`),
      team,
      queue: queueName,
      kind: queue.kind,
      idempotent: queue.idempotent ?? false,
      urgent: specification.urgent ?? false,
      checkpointable: specification.checkpointable ?? false,
      detached: detached !== 'no',
      tasks: specification.tasks ?? 1,
      size,
      command: specification.command ?? '',
      receivedAtMs: clock.wallTime(),
      deadlineAtMs: clock.wallTime() + deadlineMs,
      runTimeMs: (specification.runTimeSeconds ?? defaultRunTimeSeconds) * 1000,
      ...(acceleratorType === undefined ? {} : { acceleratorType }),
      ...(key === undefined ? {} : { idempotencyKey: key }),
      ...(keyId === undefined ? {} : { keyId }),
    };
    return ok({ request, policy, detached, deadlineMs });
  }
}
