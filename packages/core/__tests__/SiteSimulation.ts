import type { Document, HostRecord, JournalEntry, Request, RequestView } from '@toucanline/schema';
import {
  Clock,
  createFailure,
  EventRecorder,
  EventStream,
  Invariant,
  isAnswered,
  periods,
  Policy,
  RandomSource,
  Shard,
  type Effect,
} from '../src/index.js';
import { ExecutionChecker } from './ExecutionChecker.js';
import { ModelWorker } from './ModelWorker.js';

const stepMs = 50;
/** Time for which a caller waits before its request is persisted in the journal. */
const waitMs = 1000;
/** Time for which a worker may be missing from the host list of a new owner. */
const listingDelayMs = 5000;
const workerIds = ['w0', 'w1', 'w2'];
const rates = [0.992, 1, 1.008];

const document: Document = {
  schema: 1,
  shards: { s1: { dataCentre: 'dc1' } },
  teams: { planning: { share: 1 } },
  queues: {
    service: { kind: 'service', idempotent: true },
    batch: { kind: 'batch', idempotent: true },
    once: { kind: 'batch', idempotent: false },
    gang: { kind: 'gang', idempotent: true },
  },
};

/** Mulberry32, a small generator with one word of state, so that a run depends only on its seed. */
class SeededRandom extends RandomSource {
  #state: number;

  public constructor(seed: number) {
    super();
    this.#state = seed >>> 0;
  }

  public override next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(this.#state ^ (this.#state >>> 15), this.#state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  public override token(): string {
    return Math.floor(this.next() * 2 ** 32).toString(16);
  }
}

class ModelClock extends Clock {
  public time = 0;

  public override now(): number {
    return this.time;
  }

  public override wallTime(): number {
    return this.time;
  }

  public override sleep(): Promise<void> {
    throw new Error('the core does not sleep in a simulation');
  }
}

/** Owner of the shard under one claim, with its polls, as a host process runs it. */
interface Owner {
  readonly shard: Shard;
  readonly polls: Map<string, number>;
  isActive: boolean;
}

/** Request as its caller and its entry see it. */
interface PendingRequest {
  readonly request: Request;
  readonly deadlineAt: number;
  heldEpoch: number | undefined;
  readonly submittedAt: number;
  epoch: number;
  attempt: number;
  answer: RequestView | undefined;
  isDone: boolean;
}

/** Properties of a request to submit. */
export interface Submission {
  readonly queue: 'service' | 'batch' | 'once' | 'gang';
  readonly processors: number;
  readonly tasks: number;
  readonly runTimeMs: number;
  readonly fails: boolean;
  readonly key: number | undefined;
  readonly detached: boolean;
  readonly deadlineMs: number;
}

/**
 * Simulation of a shard, its workers, its journal and an entry, with time and faults controlled by
 * the test.
 */
export class SiteSimulation {
  public readonly checker = new ExecutionChecker();
  readonly #clock = new ModelClock();
  readonly #random: SeededRandom;
  readonly #workers: ReadonlyMap<string, ModelWorker>;
  readonly #partitionedWorkers = new Set<string>();
  readonly #requests: PendingRequest[] = [];
  readonly #owners: Owner[] = [];
  #timers: { readonly at: number; readonly run: () => void }[] = [];
  #journal: readonly JournalEntry[] = [];
  #lossRate = 0;
  #maxDelayMs = 20;
  #storeUp = true;
  #storeWasDown = false;
  /** Commits are written in the order of their effects. */
  #commitAt = 0;

  public constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.#workers = new Map(
      workerIds.map((id, index) => [id, new ModelWorker(id, rates[index] ?? 1, this.checker)]),
    );
    this.failOver();
  }

  /** Current time in milliseconds. */
  public get now(): number {
    return this.#clock.time;
  }

  public submit(submission: Submission): void {
    const { queue, processors, tasks, runTimeMs, fails, key, detached, deadlineMs } = submission;
    const kind = queue === 'once' ? 'batch' : queue;
    const hasKey = key !== undefined;
    const idempotencyKey = `${queue}-${key ?? ''}`;
    const original = this.#requests.find(
      (pending) => pending.request.idempotencyKey === idempotencyKey,
    );
    const created: Request = {
      id: `s1.r${this.#requests.length}`,
      digest: hasKey ? `key ${key}` : `request ${this.#requests.length}`,
      team: 'planning',
      queue,
      kind,
      idempotent: queue !== 'once',
      urgent: false,
      checkpointable: false,
      detached,
      tasks,
      size: { processors, memoryMb: 64, accelerators: 0 },
      command: `${kind === 'service' ? 1e9 : runTimeMs} ${fails ? 'fail' : 'ok'}`,
      runTimeMs,
      receivedAtMs: this.now,
      deadlineAtMs: this.now + deadlineMs,
      ...(hasKey ? { idempotencyKey } : {}),
    };
    // The digest covers the body, so a duplicate has the same body as the original request.
    const request: Request =
      original === undefined
        ? created
        : {
            ...original.request,
            id: created.id,
            receivedAtMs: this.now,
            deadlineAtMs: this.now + deadlineMs,
          };
    const pending: PendingRequest = {
      request,
      deadlineAt: this.now + deadlineMs,
      heldEpoch: undefined,
      submittedAt: this.now,
      epoch: 0,
      attempt: 0,
      answer: undefined,
      isDone: false,
    };
    this.#requests.push(pending);
    this.#submitToOwner(pending);
  }

  public resubmit(index: number): void {
    const pending = this.#requests[index % Math.max(1, this.#requests.length)];
    const isOpen = pending?.answer === undefined || !isAnswered(pending.answer);
    if (pending !== undefined && !pending.isDone && isOpen) this.#submitToOwner(pending);
  }

  public cancel(index: number): void {
    const pending = this.#requests[index % Math.max(1, this.#requests.length)];
    const id = pending?.answer?.id ?? pending?.request.id;
    if (id !== undefined) this.#owner?.shard.cancel(id, 'planning');
    this.#runEffects();
  }

  public setNetwork(lossRate: number, maxDelayMs: number): void {
    this.#lossRate = lossRate;
    this.#maxDelayMs = maxDelayMs;
  }

  public setStoreUp(isUp: boolean): void {
    this.#storeUp = isUp;
    this.#storeWasDown ||= !isUp;
  }

  public togglePartition(index: number): void {
    const id = workerIds[index % workerIds.length] ?? '';
    if (!this.#partitionedWorkers.delete(id)) this.#partitionedWorkers.add(id);
  }

  public reboot(index: number): void {
    this.#workers.get(workerIds[index % workerIds.length] ?? '')?.reboot(this.now);
  }

  public leave(index: number): void {
    this.#workers.get(workerIds[index % workerIds.length] ?? '')?.leave();
  }

  /**
   * Starts a new owner with a higher epoch. The previous one stops, but its messages still arrive.
   *
   * @param unlisted - index of a worker that is missing from the first host list of the new owner
   */
  public failOver(unlisted?: number): void {
    const leasedWorkers = this.#owner?.shard.describeRoster().workers;
    for (const owner of this.#owners) owner.isActive = false;
    const stream = new EventStream();
    const epoch = this.#owners.length + 1;
    const recorder = new EventRecorder(this.#clock, stream, `p${epoch}`, 'dc1');
    const shard = new Shard(
      {
        shard: 's1',
        dataCentre: 'dc1',
        epoch,
        owner: `p${epoch}`,
        provisional: false,
        clock: this.#clock,
        random: this.#random,
        recorder,
        invariant: new Invariant(recorder, true),
      },
      '127.0.0.1:1',
      new Policy(document),
    );
    this.#owners.push({ shard, polls: new Map(), isActive: true });
    const hosts = workerIds.map((id): HostRecord => ({
      id,
      role: 'worker',
      state: 'live',
      dataCentre: 'dc1',
      address: id,
    }));
    shard.loadJournal(this.#journal, leasedWorkers && { workers: leasedWorkers });
    const missingIndex = unlisted === undefined ? undefined : unlisted % workerIds.length;
    shard.applyHosts(hosts.filter((_, index) => index !== missingIndex));
    this.#schedule(listingDelayMs, () => {
      shard.applyHosts(hosts);
      this.#runEffects();
    });
    this.#runEffects();
  }

  /** Clears all faults and restarts the workers that were leaving. */
  public heal(): void {
    this.#partitionedWorkers.clear();
    this.setNetwork(0, 20);
    this.setStoreUp(true);
    for (const worker of this.#workers.values()) {
      if (worker.report(this.now, { full: false, acknowledged: 1e9 } as never).state === 'leaving')
        worker.reboot(this.now);
    }
  }

  /** Advances the time in steps, with everything that is due. */
  public advance(ms: number): void {
    const endsAt = this.now + ms;
    while (this.now < endsAt) {
      this.#clock.time += stepMs;
      for (const worker of this.#workers.values()) worker.advance(this.now);
      const due = this.#timers.filter(({ at }) => at <= this.now);
      this.#timers = this.#timers.filter(({ at }) => at > this.now);
      due.sort((left, right) => left.at - right.at);
      for (const { run } of due) run();
      if (this.now % 250 === 0) this.#owner?.shard.tick();
      this.#runEffects();
      this.#pollAnswers();
    }
  }

  /** Requests without a final answer. */
  public get unanswered(): readonly string[] {
    return this.#requests
      .filter(({ answer, isDone }) => !isDone && (answer === undefined || !isAnswered(answer)))
      .map(({ request, answer }) => `${request.id} (${request.queue}): ${answer?.state ?? 'none'}`);
  }

  /** Running tasks whose request is over. */
  public get orphans(): readonly string[] {
    const served = this.#requests.flatMap(({ request, answer, isDone }) => {
      // A service that the entry answered as unknown may run: its caller can find and cancel it by
      // id.
      const isUnknown = isDone && request.kind === 'service';
      if (!isUnknown && answer?.state !== 'running') return [];
      const view = this.#owner?.shard.read(answer?.id ?? request.id, 'planning');
      return view?.isOk() === true ? view.value.tasks : [];
    });
    // The tasks of a duplicate may carry the id of the original request with the same idempotency
    // key.
    const names = served.map(({ id }) => id.split('/').slice(0, 2).join('/'));
    return this.checker.running.filter((name) => !names.includes(name));
  }

  /** Number of tasks that the owner counts as running but that do not run. */
  public get phantomCount(): number {
    const status = this.#owner?.shard.describeStatus();
    const orphaned = status?.running ?? 0;
    return orphaned - this.checker.running.length;
  }

  get #owner(): Owner | undefined {
    return this.#owners.find(({ isActive }) => isActive);
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#timers.push({ at: this.now + delayMs, run });
  }

  /**
   * Sends a message to a worker over a network that may be partitioned or may lose or delay the
   * message.
   */
  #send(worker: string, deliver: (target: ModelWorker) => void): void {
    const target = this.#workers.get(worker);
    const delay = this.#random.next() * this.#maxDelayMs;
    if (target === undefined || this.#isLost(worker)) return;
    this.#schedule(delay, () => {
      deliver(target);
    });
  }

  #isLost(worker: string): boolean {
    return this.#partitionedWorkers.has(worker) || this.#random.next() < this.#lossRate;
  }

  /**
   * Runs one request and response with a worker. Calls `settle` exactly once, with undefined after
   * the timeout.
   */
  #exchange<T>(
    worker: string,
    timeoutMs: number,
    act: (target: ModelWorker) => () => T,
    settle: (outcome: T | undefined) => void,
    holdMs: (target: ModelWorker) => number = () => 0,
  ): void {
    let isDone = false;
    const finish = (outcome: T | undefined): void => {
      if (isDone) return;
      isDone = true;
      settle(outcome);
    };
    this.#schedule(timeoutMs, () => {
      finish(undefined);
    });
    this.#send(worker, (target) => {
      const answer = act(target);
      this.#schedule(holdMs(target), () => {
        const outcome = answer();
        const delay = this.#random.next() * this.#maxDelayMs;
        if (this.#isLost(worker)) return;
        this.#schedule(delay, () => {
          finish(outcome);
        });
      });
    });
  }

  #runEffects(): void {
    for (const owner of this.#owners) {
      if (!owner.isActive) continue;
      owner.shard.dispatch(100);
      for (const effect of owner.shard.takeEffects()) this.#execute(owner, effect);
    }
  }

  #execute(owner: Owner, effect: Effect): void {
    if (effect.effect === 'start') {
      const { start } = effect;
      const { request, index, taskId } = start.assignment;
      this.#exchange(
        effect.worker,
        periods.startWindowMs,
        (target) => {
          const refusal = target.start(this.now, start);
          return () => ({ refusal });
        },
        (outcome) => {
          if (!owner.isActive) return;
          const lost = createFailure('timeout', 'no answer');
          const response = outcome === undefined ? lost : outcome.refusal;
          owner.shard.applyStartResponse(request.id, index, taskId, response);
          this.#runEffects();
        },
      );
    } else if (effect.effect === 'command') {
      this.#send(effect.worker, (target) => target.command(effect.command));
    } else if (effect.effect === 'commit') {
      this.#commit(owner, effect.ticket, effect.entry);
    } else if (effect.effect === 'poll') {
      this.#poll(owner, effect.worker);
    } else if (effect.effect === 'standDown') {
      owner.isActive = false;
      this.checker.recordViolation(`the newest owner stood down: ${effect.detail}`);
    }
  }

  #commit(owner: Owner, ticket: number, entry: JournalEntry): void {
    const at = this.now + 30 + this.#random.next() * this.#maxDelayMs;
    this.#commitAt = Math.max(this.#commitAt, at);
    this.#schedule(this.#commitAt - this.now, () => {
      const isWritten = owner.isActive && this.#storeUp;
      if (isWritten) this.#journal = [...this.#journal, entry];
      if (!owner.isActive) return;
      const failure = isWritten ? undefined : createFailure('storeUnavailable', 'store is down');
      owner.shard.applyCommitResult(ticket, failure);
      this.#runEffects();
    });
  }

  #poll(owner: Owner, worker: string): void {
    const next = owner.isActive ? owner.shard.createRenewal(worker) : undefined;
    if (next === undefined) return;
    const { renewal } = next;
    const sentAt = this.now;
    const proceed = (): void => {
      this.#runEffects();
      this.#poll(owner, worker);
    };
    this.#exchange(
      worker,
      periods.workerTimeoutMs,
      (target) => {
        const refusal = target.renew(renewal);
        return () =>
          refusal === undefined ? { report: target.report(this.now, renewal) } : { refusal };
      },
      (outcome) => {
        if (!owner.isActive) return;
        if (outcome?.report !== undefined) {
          owner.shard.applyReport(worker, outcome.report, sentAt);
          proceed();
          return;
        }
        if (outcome?.refusal !== undefined) owner.shard.applyRefusal(worker, outcome.refusal);
        this.#schedule(500, proceed);
      },
      (target) => (renewal.waitMs > 0 && target.sequence <= renewal.acknowledged ? 400 : 0),
    );
  }

  /** Submits a request to the owner as an entry does, under the same id on each attempt. */
  #submitToOwner(pending: PendingRequest): void {
    const owner = this.#owner;
    if (owner === undefined) return;
    const { request, deadlineAt, heldEpoch } = pending;
    const result = owner.shard.submit({
      call: 'submit',
      shard: 's1',
      request,
      remainingMs: deadlineAt - this.now,
      detached: request.detached ? 'yes' : 'no',
      ...(heldEpoch === undefined ? {} : { heldEpoch, heldMs: this.now - pending.submittedAt }),
    });
    this.#runEffects();
    if (result.isOk()) {
      pending.heldEpoch = owner.shard.epoch;
      this.#applyView(pending, result.value, owner.shard.epoch);
    } else if (heldEpoch === undefined) {
      pending.isDone = true;
      this.checker.recordNotRun(request.id);
    } else if (deadlineAt <= this.now) {
      // A previous owner held the request and the new one does not know it: the entry answers
      // "unknown".
      pending.isDone = true;
    }
  }

  #pollAnswers(): void {
    const owner = this.#owner;
    if (owner === undefined) return;
    for (const pending of this.#requests) {
      if (pending.isDone) continue;
      const id = pending.answer?.id ?? pending.request.id;
      const hasAnswer = pending.answer !== undefined && isAnswered(pending.answer);
      if (hasAnswer && pending.answer?.kind !== 'service') continue;
      if (!hasAnswer) owner.shard.registerInterest(id);
      if (this.now - pending.submittedAt > waitMs) owner.shard.persistRequest(id);
      const view = owner.shard.read(id, 'planning');
      if (view.isOk() && !owner.shard.isCommitting(id))
        this.#applyView(pending, view.value, owner.shard.epoch);
      else if (view.isErr() && !hasAnswer) this.#submitToOwner(pending);
    }
  }

  #applyView(pending: PendingRequest, view: RequestView, epoch: number): void {
    const { answer, request } = pending;
    if (answer !== undefined && isAnswered(answer) && answer.kind !== 'service') {
      const mayChange = this.#storeWasDown && answer.ran !== 'no';
      if (answer.state !== view.state && !mayChange) {
        this.checker.recordViolation(`${request.id} was ${answer.state} and became ${view.state}`);
      }
      return;
    }
    if (epoch < pending.epoch || (epoch === pending.epoch && view.attempt < pending.attempt))
      return;
    pending.epoch = epoch;
    pending.attempt = view.attempt;
    pending.answer = view;
    const isFinal = isAnswered(view) && view.state !== 'running';
    // The tasks of a duplicate may carry the id of the original request with the same idempotency
    // key.
    const taskIds = view.tasks.map(({ id }) => id.split('/')[0] ?? '');
    const didRun = [view.id, ...taskIds].some((id) => this.checker.hasRun(id));
    if (isFinal && view.ran === 'no') this.checker.recordNotRun(view.id);
    if (isFinal && view.ran === 'yes' && !didRun) {
      this.checker.recordViolation(`${view.id} did not run but was answered "ran: yes"`);
    }
  }
}
