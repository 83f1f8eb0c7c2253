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
/** Time for which a caller waits, before its request is kept in the journal. */
const waitMs = 1000;
/** Time for which the host list of a new owner may miss a worker. */
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

/** Mulberry32: a small generator with one word of state, so that a run depends on its seed only. */
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
    throw new Error('the core does not sleep in a model run');
  }
}

/** One ownership with its polls, as a host process runs it. */
interface Owner {
  readonly shard: Shard;
  readonly polls: Map<string, number>;
  isActive: boolean;
}

/** A request as its caller and its entry see it. */
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

/** What a submitted request looks like. */
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

/** A shard, its workers, its journal and an entry, with time and faults controlled by the test. */
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
    const earlier = this.#requests.find((held) => held.request.idempotencyKey === idempotencyKey);
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
    // The digest covers the body, so a repeat has the body of the first request.
    const request: Request =
      earlier === undefined
        ? created
        : {
            ...earlier.request,
            id: created.id,
            receivedAtMs: this.now,
            deadlineAtMs: this.now + deadlineMs,
          };
    const held: PendingRequest = {
      request,
      deadlineAt: this.now + deadlineMs,
      heldEpoch: undefined,
      submittedAt: this.now,
      epoch: 0,
      attempt: 0,
      answer: undefined,
      isDone: false,
    };
    this.#requests.push(held);
    this.#submitToOwner(held);
  }

  public resubmit(index: number): void {
    const held = this.#requests[index % Math.max(1, this.#requests.length)];
    const isOpen = held?.answer === undefined || !isAnswered(held.answer);
    if (held !== undefined && !held.isDone && isOpen) this.#submitToOwner(held);
  }

  public cancel(index: number): void {
    const held = this.#requests[index % Math.max(1, this.#requests.length)];
    const id = held?.answer?.id ?? held?.request.id;
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
   * A new owner with a higher epoch; the former one stops, but its messages still arrive.
   *
   * @param unlisted - index of a worker that the host list of the new owner misses for now
   */
  public failOver(unlisted?: number): void {
    const leased = this.#owner?.shard.describeRoster().workers;
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
    shard.loadJournal(this.#journal, leased && { workers: leased });
    const missing = unlisted === undefined ? undefined : unlisted % workerIds.length;
    shard.applyHosts(hosts.filter((_, index) => index !== missing));
    this.#schedule(listingDelayMs, () => {
      shard.applyHosts(hosts);
      this.#runEffects();
    });
    this.#runEffects();
  }

  /** Ends all faults; workers that were leaving come back after a restart. */
  public heal(): void {
    this.#partitionedWorkers.clear();
    this.setNetwork(0, 20);
    this.setStoreUp(true);
    for (const worker of this.#workers.values()) {
      if (worker.report(this.now, { full: false, acknowledged: 1e9 } as never).state === 'leaving')
        worker.reboot(this.now);
    }
  }

  /** Lets time pass. */
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

  /** Requests that are not answered. */
  public get unanswered(): readonly string[] {
    return this.#requests
      .filter(
        ({ answer, isDone: isOver }) => !isOver && (answer === undefined || !isAnswered(answer)),
      )
      .map(({ request, answer }) => `${request.id} (${request.queue}): ${answer?.state ?? 'none'}`);
  }

  /** Tasks that run although their request is over. */
  public get orphans(): readonly string[] {
    const served = this.#requests.flatMap(({ request, answer, isDone: isOver }) => {
      // A service that an entry answered as unknown may run: its caller finds and cancels it by id.
      const isUnknown = isOver && request.kind === 'service';
      if (!isUnknown && answer?.state !== 'running') return [];
      const view = this.#owner?.shard.read(answer?.id ?? request.id, 'planning');
      return view?.isOk() === true ? view.value.tasks : [];
    });
    // The tasks of a repeat may carry the id of the earlier request with the same idempotency key.
    const names = served.map(({ id }) => id.split('/').slice(0, 2).join('/'));
    return this.checker.running.filter((name) => !names.includes(name));
  }

  /** Work that the owner counts as running. */
  public get phantomCount(): number {
    const status = this.#owner?.shard.describeStatus();
    const orphaned = status?.running ?? 0;
    return orphaned - this.checker.running.length;
  }

  get #owner(): Owner | undefined {
    return this.#owners.find(({ isActive: active }) => active);
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#timers.push({ at: this.now + delayMs, run });
  }

  /** Sends over a connection that may be cut, lose or delay a message. */
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

  /** Runs one exchange: exactly one of the two callbacks is called, in time. */
  #exchange<T>(
    worker: string,
    timeoutMs: number,
    act: (target: ModelWorker) => () => T,
    settle: (outcome: T | undefined) => void,
    holdMs: (target: ModelWorker) => number = () => 0,
  ): void {
    let isOver = false;
    const finish = (outcome: T | undefined): void => {
      if (isOver) return;
      isOver = true;
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

  /** The entry: hands a request in under the same id until the shard answers. */
  #submitToOwner(held: PendingRequest): void {
    const owner = this.#owner;
    if (owner === undefined) return;
    const { request, deadlineAt, heldEpoch } = held;
    const result = owner.shard.submit({
      call: 'submit',
      shard: 's1',
      request,
      remainingMs: deadlineAt - this.now,
      detached: request.detached ? 'yes' : 'no',
      ...(heldEpoch === undefined ? {} : { heldEpoch, heldMs: this.now - held.submittedAt }),
    });
    this.#runEffects();
    if (result.isOk()) {
      held.heldEpoch = owner.shard.epoch;
      this.#applyView(held, result.value, owner.shard.epoch);
    } else if (heldEpoch === undefined) {
      held.isDone = true;
      this.checker.recordNotRun(request.id);
    } else if (deadlineAt <= this.now) {
      // An earlier owner held it and the new one does not know it: the entry answers "unknown".
      held.isDone = true;
    }
  }

  #pollAnswers(): void {
    const owner = this.#owner;
    if (owner === undefined) return;
    for (const held of this.#requests) {
      if (held.isDone) continue;
      const id = held.answer?.id ?? held.request.id;
      const isDone = held.answer !== undefined && isAnswered(held.answer);
      if (isDone && held.answer?.kind !== 'service') continue;
      if (!isDone) owner.shard.registerInterest(id);
      if (this.now - held.submittedAt > waitMs) owner.shard.persistRequest(id);
      const view = owner.shard.read(id, 'planning');
      if (view.isOk() && !owner.shard.isCommitting(id))
        this.#applyView(held, view.value, owner.shard.epoch);
      else if (view.isErr() && !isDone) this.#submitToOwner(held);
    }
  }

  #applyView(held: PendingRequest, view: RequestView, epoch: number): void {
    const { answer, request } = held;
    if (answer !== undefined && isAnswered(answer) && answer.kind !== 'service') {
      const mayChange = this.#storeWasDown && answer.ran !== 'no';
      if (answer.state !== view.state && !mayChange) {
        this.checker.recordViolation(`${request.id} was ${answer.state} and became ${view.state}`);
      }
      return;
    }
    if (epoch < held.epoch || (epoch === held.epoch && view.attempt < held.attempt)) return;
    held.epoch = epoch;
    held.attempt = view.attempt;
    held.answer = view;
    const isFinal = isAnswered(view) && view.state !== 'running';
    // The tasks of a repeat may carry the id of the earlier request with the same idempotency key.
    const taskIds = view.tasks.map(({ id }) => id.split('/')[0] ?? '');
    const didRun = [view.id, ...taskIds].some((id) => this.checker.hasRun(id));
    if (isFinal && view.ran === 'no') this.checker.recordNotRun(view.id);
    if (isFinal && view.ran === 'yes' && !didRun) {
      this.checker.recordViolation(`${view.id} did not run but was answered "ran: yes"`);
    }
  }
}
