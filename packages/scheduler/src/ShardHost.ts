import {
  AllotmentKeeper,
  createFailure,
  FleetRoster,
  Journal,
  periods,
  Shard,
  type ClaimStanding,
  type Effect,
  type KeyRing,
  type Policy,
  type TakeoverBook,
  type WorkerGateway,
} from '@toucanline/core';
import type {
  Claim,
  Failure,
  HostRecord,
  ReplyBody,
  RequestView,
  ShardLoad,
  ShardSnapshot,
  SubmitCall,
  WaitCall,
} from '@toucanline/schema';
import type { ProcessRuntime } from '@toucanline/runtime';
import { err, type Result } from 'neverthrow';
import { RequestWaiters } from './RequestWaiters.js';
import type { SnapshotInbox } from './SnapshotInbox.js';
import { WorkerDriver } from './WorkerDriver.js';
import { WorkSuccession } from './WorkSuccession.js';

const tickMs = 250;
/** Ticks between looks at the workers that the next owner has to know of. */
const ticksPerRoster = 4;
const retryMs = 500;
/** Requests started before the loop serves other events. */
const maxStartsPerTurn = 100;
/** Bounds of the wait for commands and commits that are under way when the shard is handed over. */
const quiesceMs = 300;
const quiescePollMs = 2;
/** Longest wait for the journal before the state is told without it; shorter than the margin of a call. */
const journalWaitMs = 1000;
/** Time within which each entry has handed in what it holds to a new owner. */
const resubmissionMs = 10_000;

/** The right by which a process acts as the owner. */
interface Ownership {
  readonly claim: Claim;
  /** True if taken without the store. */
  readonly provisional: boolean;
  /** Reads what is known about the store lease at this moment. */
  readonly readStanding: () => ClaimStanding;
  /** Reads the local monotonic time before the last contact of an owner with the store. */
  readonly readContact: () => number;
  /** Called once requests may be submitted. */
  readonly onServing: () => void;
  /** Called once a worker proves that it accepted another owner. */
  readonly onLost: (detail: string, epoch: number) => void;
}

/** Runs the decisions of one shard under one ownership: executes effects, polls workers, keeps time. */
export class ShardHost {
  readonly #runtime: ProcessRuntime;
  readonly #shard: Shard;
  readonly #journal: Journal;
  readonly #roster: FleetRoster;
  readonly #allotments: AllotmentKeeper;
  readonly #waiters = new RequestWaiters();
  readonly #ownership: Ownership;
  readonly #workers: WorkerDriver;
  readonly #succession: WorkSuccession;
  /** Local monotonic time of the first start, in milliseconds. */
  readonly #startsAt: number;
  #active = true;
  #frozen = false;
  #journalOpen = false;
  #serving = false;
  /** Local monotonic time since which requests are taken, in milliseconds. */
  #servingAt = Infinity;
  #allotting = false;
  #pumping = false;

  /**
   * @param runtime - the process
   * @param gateway - access to the workers
   * @param ownership - the right to act
   * @param policy - policy in effect
   */
  public constructor(
    runtime: ProcessRuntime,
    gateway: WorkerGateway,
    ownership: Ownership,
    policy: Policy,
  ) {
    this.#runtime = runtime;
    this.#ownership = ownership;
    const { clock, random, recorder, invariant, settings, store } = runtime;
    const { provisional } = ownership;
    const { shard, epoch, owner, address } = ownership.claim;
    const { dataCentre } = settings;
    this.#shard = new Shard(
      { shard, dataCentre, epoch, owner, provisional, clock, random, recorder, invariant },
      address,
      policy,
    );
    this.#allotments = new AllotmentKeeper(
      {
        store,
        clock,
        random,
        recorder,
        invariant,
        readLoad: () => this.#shard.describeLoad(),
        isRecovered: () => this.#shard.isRecovered,
        isProvisional: ownership.provisional,
        onChange: (spendable, lowered) => {
          this.#shard.applyAllotments(spendable, lowered);
          this.#pump();
        },
      },
      shard,
      epoch,
      policy,
      runtime.holder.revision,
    );
    this.#journal = new Journal(store, clock, random, shard, epoch);
    this.#workers = new WorkerDriver({
      clock,
      gateway,
      shard: this.#shard,
      isActive: () => this.#active,
      mayAct: () => this.#mayAct,
      onAnswer: () => {
        this.#pump();
      },
    });
    this.#succession = new WorkSuccession(
      {
        runtime,
        shard: this.#shard,
        isActive: () => this.#active && !this.#frozen,
        onChange: () => {
          this.#pump();
        },
      },
      policy,
    );
    this.#roster = new FleetRoster(store, shard, epoch);
    // Workers that do not fence obey a former owner until its longest lease has ended.
    this.#startsAt = clock.now() + (gateway.fences ? 0 : periods.workerLeaseMs + retryMs);
  }

  /** The decisions. */
  public get shard(): Shard {
    return this.#shard;
  }

  /** Whether requests may be submitted here. */
  public get isServing(): boolean {
    return this.#active && !this.#frozen && this.#serving;
  }

  /** Whether the claim was confirmed by the store a moment ago. */
  public get isConnected(): boolean {
    const isConfirmed = this.#ownership.readStanding() === 'confirmed';
    return this.isServing && !this.#ownership.provisional && isConfirmed;
  }

  /** Whether this process still acts as the owner. */
  public get isActive(): boolean {
    return this.#active;
  }

  /**
   * Starts to serve, at once if the former owner handed its state over.
   *
   * @param inheritance - state of the former owner, if it handed the shard over
   */
  public start(inheritance?: ReturnType<SnapshotInbox['take']>): void {
    if (inheritance !== undefined) {
      this.#shard.restoreSnapshot(inheritance.snapshot, inheritance.finished);
    }
    void this.#openJournal();
    void this.#keepTime();
  }

  /**
   * Stops to act and describes the state for the next owner.
   *
   * @param sent - identifiers of finished requests that the next owner got before
   * @returns the snapshot, once the commands and commits under way are settled or a bound has passed
   */
  public async freeze(sent?: ReadonlySet<string>): Promise<ShardSnapshot> {
    this.#frozen = true;
    const { clock } = this.#runtime;
    const endsAt = clock.now() + quiesceMs;
    while ((this.#workers.starting > 0 || this.#journal.isBusy) && clock.now() < endsAt) {
      await clock.sleep(quiescePollMs);
    }
    return this.#shard.createSnapshot(sent);
  }

  /** Ends this ownership: nothing is sent to workers any more. */
  public stop(): void {
    this.#active = false;
    this.#journal.close();
    this.#waiters.notifyAll();
  }

  /**
   * Applies a new policy.
   *
   * @param policy - policy in effect
   */
  public applyPolicy(policy: Policy): void {
    this.#succession.applyPolicy(policy);
    this.#shard.applyPolicy(policy);
    this.#allotments.applyPolicy(policy, this.#runtime.holder.revision);
    this.#pump();
  }

  /**
   * Applies a new list of keys.
   *
   * @param keyRing - keys in effect
   */
  public applyKeys(keyRing: KeyRing): void {
    this.#shard.applyKeys(keyRing);
    this.#pump();
  }

  /**
   * Applies the host list.
   *
   * @param hosts - workers of the shard
   */
  public applyHosts(hosts: readonly HostRecord[]): void {
    this.#shard.applyHosts(hosts);
    this.#pump();
  }

  /**
   * Applies what other owners told.
   *
   * @param loads - loads of other shards
   */
  public applyLoads(loads: readonly ShardLoad[]): void {
    this.#shard.applyLoads(loads);
    this.#allotments.applyLoads(loads);
  }

  /**
   * Applies what passed between data centres: drops what others took, takes in what this shard was given.
   *
   * @param book - the record of takeovers
   */
  public applyTakeovers(book: TakeoverBook): void {
    this.#shard.applyTakeovers(book);
    if (this.#journalOpen) void this.#succession.inherit(book);
    this.#pump();
  }

  /**
   * Takes a request; a journaled one is answered after its commit.
   *
   * @param offered - the request
   * @returns its state, or the failure
   */
  public async submit(offered: SubmitCall): Promise<ReplyBody> {
    const call = this.#attach(offered);
    const refused = this.#checkReady(call);
    if (refused !== undefined) return { reply: 'failure', failure: refused };
    const taken = await this.#succession.takeAttached(call);
    if (taken !== undefined) return { reply: 'failure', failure: taken };
    if (!this.#isActive()) return this.#replyLost();
    const result = this.#shard.submit(call);
    this.#pump();
    if (result.isErr()) return { reply: 'failure', failure: result.error };
    const { id, team } = result.value;
    while (this.#active && this.#shard.isCommitting(id)) await this.#waiters.wait(id, tickMs);
    return this.#reply(this.#shard.read(id, team));
  }

  /**
   * Waits until a request is answered.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @param waitMs - longest wait in milliseconds
   * @param options - `keep`: whether the request shall be in the journal, because its caller stops to wait;
   * `handsIn`: whether the sender hands it in if it is not known here
   * @returns its state, or the failure
   */
  public async wait(
    requestId: string,
    team: string | undefined,
    waitMs: number,
    { keep = false, handsIn = false }: Pick<WaitCall, 'keep' | 'handsIn'> = {},
  ): Promise<ReplyBody> {
    if (!this.#serving) return this.#replyLost();
    this.#shard.noteWanted(requestId);
    if (keep && this.#mayAct) this.#shard.keep(requestId);
    this.#pump();
    const isDone = (): boolean => !this.#active || this.#shard.isSettled(requestId);
    const startedAt = this.#runtime.clock.now();
    await this.#waiters.waitUntil(requestId, waitMs, isDone);
    if (keep) {
      const waitedMs = this.#runtime.clock.now() - startedAt;
      await this.#waitForJournal(requestId, journalWaitMs - waitedMs);
    }
    const result = this.#shard.read(requestId, team);
    return this.#reply(handsIn ? result : result.mapErr((failure) => this.#doubt(failure)));
  }

  /**
   * Without the journal of the earlier owners, and until the entries have handed in what they hold, it is not
   * known whether a request exists.
   */
  #doubt(failure: Failure): Failure {
    const isNew = this.#runtime.clock.now() - this.#servingAt < resubmissionMs;
    const hasEarlier = this.#shard.epoch > 1 && (isNew || !this.#journalOpen);
    if (!hasEarlier || failure.kind !== 'unknownRequest') return failure;
    return createFailure('timeout', 'the new owner of the shard may not know the request yet', 1);
  }

  /** A store that cannot be reached is not waited for. */
  async #waitForJournal(requestId: string, waitMs: number): Promise<void> {
    if (!this.#canCommit) return;
    const isDone = (): boolean => !this.#active || this.#shard.isJournalSettled(requestId);
    await this.#waiters.waitUntil(requestId, waitMs, isDone);
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns its state, or the failure
   */
  public async cancel(requestId: string, team: string | undefined): Promise<ReplyBody> {
    if (!this.#mayAct || !this.#serving) return this.#replyLost();
    const result = this.#shard.cancel(requestId, team);
    this.#pump();
    if (result.isErr()) return this.#reply(result.mapErr((failure) => this.#doubt(failure)));
    // Waiting work ends at once, and its end is told once the journal has it.
    await this.#waitForJournal(requestId, journalWaitMs);
    return this.#reply(this.#shard.read(requestId, team));
  }

  /**
   * Starts or ends an operator's drain of a worker.
   *
   * @param worker - name of the worker
   * @param drained - whether it shall take no new work
   * @returns done, or the failure
   */
  public drain(worker: string, drained: boolean): ReplyBody {
    const result = this.#shard.drain(worker, drained);
    this.#pump();
    return result.isOk() ? { reply: 'done' } : { reply: 'failure', failure: result.error };
  }

  /** A method, because the compiler would take a field as unchanged over an await. */
  #isActive(): boolean {
    return this.#active;
  }

  #reply(result: Result<RequestView, Failure>): ReplyBody {
    if (!this.#active || !this.#isStanding) return this.#replyLost();
    if (result.isErr()) return { reply: 'failure', failure: result.error };
    return { reply: 'view', view: result.value, epoch: this.#shard.epoch };
  }

  /** The outcome stays open for the entry, which asks the next owner. */
  #replyLost(): ReplyBody {
    const detail = `the shard ${this.#shard.name} may have another owner`;
    return { reply: 'failure', failure: createFailure('linkLost', detail) };
  }

  /** Whether the claim was not left behind by a pause of this process. */
  get #isStanding(): boolean {
    return this.#ownership.provisional || this.#ownership.readStanding() !== 'unsettled';
  }

  get #mayAct(): boolean {
    return this.#active && !this.#frozen && this.#isStanding;
  }

  /** Without a confirmed store lease, new work needs a majority of the workers' leases. */
  get #mayStart(): boolean {
    if (this.#runtime.clock.now() < this.#startsAt) return false;
    return this.#isConfirmed || this.#shard.holdsMajority;
  }

  /** Whether the store lease behind the claim is certainly valid, so that no other owner exists. */
  get #isConfirmed(): boolean {
    return !this.#ownership.provisional && this.#ownership.readStanding() === 'confirmed';
  }

  /** Whether the store cannot be reached, so that nothing can be committed. */
  get #isWithoutStore(): boolean {
    return this.#ownership.provisional || this.#ownership.readStanding() === 'unreachable';
  }

  get #canCommit(): boolean {
    return this.#journalOpen && !this.#isWithoutStore;
  }

  /** Without the store, a request that prefers to be detached is taken like one whose caller waits. */
  #attach(call: SubmitCall): SubmitCall {
    if (call.detached !== 'prefer' || this.#canCommit) return call;
    return { ...call, request: { ...call.request, detached: false } };
  }

  #checkReady({ request, heldEpoch }: SubmitCall): Failure | undefined {
    if (!this.#active || this.#frozen) return createFailure('notOwner', 'the owner changes');
    if (!this.#isStanding || !this.#serving) {
      return createFailure('notReady', 'the owner of the shard is starting', 1);
    }
    if (this.#canCommit || !this.#shard.isJournaled(request)) return undefined;
    // A request that an earlier owner may hold is answered once the journal tells about it.
    return heldEpoch === undefined
      ? createFailure('storeUnavailable', 'the journal of the shard cannot be reached', 1)
      : createFailure('timeout', 'the journal of the shard cannot be reached');
  }

  async #openJournal(): Promise<void> {
    if (this.#ownership.provisional) return;
    while (this.#isActive()) {
      const [opened, roster] = await Promise.all([
        this.#succession
          .load()
          .then((failure) => (failure === undefined ? this.#journal.open() : err(failure))),
        this.#roster.load(),
      ]);
      if (!this.#isActive()) return;
      if (opened.isOk() && roster.isOk()) {
        this.#shard.loadJournal(this.#succession.selectOwn(opened.value), roster.value);
        this.#journalOpen = true;
        this.#updateServing();
        this.#pump();
        return;
      }
      const failure = opened.isErr() ? opened.error : roster._unsafeUnwrapErr();
      this.#runtime.log.write('warn', 'cannot open the journal', { detail: failure.detail });
      await this.#runtime.clock.sleep(retryMs);
    }
  }

  /** Gives queues up whose time without store contact has passed; a later contact needs a new claim. */
  #checkCutOff(): void {
    const contactAt = this.#ownership.readContact();
    if (this.#succession.isOutdated(contactAt)) {
      this.#ownership.onLost('the data centre was cut off and gave work up', this.#shard.epoch);
      return;
    }
    const queues = this.#succession.listReleased(contactAt);
    if (queues.size === 0) return;
    // An end of given-up work must not enter the journal: other data centres decide about it.
    this.#journal.close();
    this.#shard.release(queues);
  }

  /** Requests are taken once the journal is loaded, or without it while the store is unreachable. */
  #updateServing(): void {
    if (this.#serving) return;
    const { provisional } = this.#ownership;
    const isAlone = this.#isWithoutStore && this.#shard.holdsMajority;
    if (!this.#journalOpen && !isAlone) return;
    this.#serving = true;
    this.#servingAt = this.#runtime.clock.now();
    this.#ownership.onServing();
    if (!this.#journalOpen) this.#shard.skipJournal();
    const { shard, epoch } = this.#ownership.claim;
    if (provisional) {
      const detail = 'provisional, by a majority of the leases of the workers';
      this.#runtime.recorder.record('claimTaken', { shard, epoch, detail });
    }
  }

  /** Allotments are planned from the use that the workers reported, so not before that is known. */
  #runAllotments(): void {
    if (this.#allotting || !this.#shard.isRecovered) return;
    this.#allotting = true;
    void this.#allotments.run(() => this.#active && !this.#frozen);
  }

  async #keepTime(): Promise<void> {
    for (let tick = 0; this.#active; tick += 1) {
      if (this.#mayAct) {
        this.#checkCutOff();
        if (this.#journalOpen) void this.#succession.keepTerms();
        this.#shard.tick();
        this.#updateServing();
        if (this.#canCommit && tick % ticksPerRoster === 0)
          void this.#roster.save(this.#shard.listLeased(), this.#shard.listQuarantined());
      }
      this.#pump();
      await this.#runtime.clock.sleep(tickMs);
    }
  }

  /** Decides and executes the effects; goes on in a later turn of the loop if more can start. */
  #pump(): void {
    if (!this.#mayAct || this.#pumping) return;
    this.#runAllotments();
    this.#pumping = true;
    const hasMore = this.#mayStart && this.#shard.dispatch(maxStartsPerTurn, this.#isConfirmed);
    for (const effect of this.#shard.takeEffects()) this.#execute(effect);
    this.#pumping = false;
    if (hasMore) {
      setImmediate(() => {
        this.#pump();
      });
    }
  }

  #execute(effect: Effect): void {
    switch (effect.effect) {
      case 'start':
        void this.#workers.start(effect);
        break;
      case 'command':
        void this.#workers.command(effect);
        break;
      case 'commit':
        void this.#commit(effect);
        break;
      case 'changed':
        this.#waiters.notify(effect.requestId);
        break;
      case 'poll':
        void this.#workers.poll(effect.worker);
        break;
      case 'interrupt':
        this.#workers.interrupt(effect);
        break;
      case 'standDown':
        if (this.#active) this.#ownership.onLost(effect.detail, effect.epoch);
        break;
    }
  }

  async #commit({ ticket, entry }: Extract<Effect, { effect: 'commit' }>): Promise<void> {
    let result = await this.#journal.append(entry);
    // Nobody waits for the end of a request to be committed, so it is repeated until it is.
    while (
      ticket === 0 &&
      result.isErr() &&
      result.error.kind !== 'storeConflict' &&
      this.#isActive()
    ) {
      await this.#runtime.clock.sleep(retryMs);
      result = await this.#journal.append(entry);
    }
    if (!this.#isActive()) return;
    if (result.isErr() && result.error.kind === 'storeConflict') {
      // Another owner wrote the journal and may get the request too, so a refusal would prove nothing.
      this.#ownership.onLost('another owner wrote the journal', this.#shard.epoch);
      return;
    }
    this.#shard.confirmCommit(ticket, result.isErr() ? result.error : undefined);
    this.#pump();
  }
}
