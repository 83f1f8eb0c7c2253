import type { Request, RequestView } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import {
  ClaimManager,
  createFailure,
  EventRecorder,
  EventStream,
  Invariant,
  Journal,
  listReleasedQueues,
  readJournal,
  ReleaseTermsManager,
  Shard,
  TakeoverEditor,
  type Effect,
  type Policy,
  type RandomSource,
  type Store,
  type TakeoverIndex,
} from '../src/index.js';
import type { TimerClock } from './TimerClock.js';
import { PartitionableStore } from './PartitionableStore.js';
import type { ExecutionChecker } from './ExecutionChecker.js';
import { ModelWorker } from './ModelWorker.js';

/** State and services that the data centres of a simulation share. */
export interface SimulationContext {
  readonly clock: TimerClock;
  readonly random: RandomSource;
  readonly store: Store;
  readonly checker: ExecutionChecker;
  readonly policy: Policy;
}

/** Owner of the shard under one claim. */
interface Owner {
  readonly shard: Shard;
  readonly journal: Journal;
  readonly polled: Set<string>;
  isOpen: boolean;
  isOpening: boolean;
  releasedAt: number | undefined;
}

/** Model of a data centre with one shard: the candidate for its ownership and its workers. */
export class ModelDataCentre {
  public readonly name: string;
  public readonly shardName: string;
  public readonly store: PartitionableStore;
  /** Whether all processes and workers have failed. */
  public isDown = false;
  readonly #context: SimulationContext;
  readonly #workers: readonly ModelWorker[];
  readonly #unreachableWorkers = new Set<string>();
  #process = 0;
  #claimManager: ClaimManager;
  #termsManager: ReleaseTermsManager;
  #owner: Owner | undefined;
  #isClaiming = false;

  /**
   * @param context - state and services that the data centres share
   * @param name - name of the data centre
   * @param shardName - name of its shard
   * @param clockRates - speed of the clock of each worker relative to the clock of the owner
   */
  public constructor(
    context: SimulationContext,
    name: string,
    shardName: string,
    clockRates: readonly number[],
  ) {
    this.#context = context;
    this.name = name;
    this.shardName = shardName;
    this.store = new PartitionableStore(context.store);
    this.#workers = clockRates.map(
      (rate, index) => new ModelWorker(`${name}-w${index}`, rate, context.checker),
    );
    this.#claimManager = this.#createKeeper();
    this.#termsManager = this.#createTerms();
  }

  /** Shard of the current owner; undefined unless the owner accepts requests. */
  public get shard(): Shard | undefined {
    const isServing = this.#owner?.isOpen === true && this.#claimManager.state !== 'unsettled';
    return isServing ? this.#owner?.shard : undefined;
  }

  /** Dependencies of the components that run in this data centre. */
  public get dependencies(): Readonly<{
    store: Store;
    clock: TimerClock;
    random: RandomSource;
    recorder: EventRecorder;
    invariant: Invariant;
    process: string;
    address: string;
  }> {
    const { clock, random } = this.#context;
    const process = `${this.name}-p${this.#process}`;
    const recorder = new EventRecorder(clock, new EventStream(), process, this.name);
    const invariant = new Invariant(recorder, true);
    return { store: this.store, clock, random, recorder, invariant, process, address: process };
  }

  /** Kills the owner process. A new process takes its place, and the workers keep running. */
  public killOwner(): void {
    this.#endOwner();
    this.#process += 1;
    this.#claimManager = this.#createKeeper();
    this.#termsManager = this.#createTerms();
    this.#isClaiming = false;
  }

  /** Fails the whole data centre, or brings it back with restarted workers. */
  public setDown(isDown: boolean): void {
    if (isDown === this.isDown) return;
    this.isDown = isDown;
    this.killOwner();
    for (const worker of this.#workers) worker.reboot(this.#context.clock.now());
  }

  /**
   * Makes a worker unreachable for the owner, or reachable again.
   *
   * @param index - index of the worker; larger values wrap around
   */
  public toggleReachability(index: number): void {
    const id = this.#workers[index % this.#workers.length]?.id ?? '';
    if (!this.#unreachableWorkers.delete(id)) this.#unreachableWorkers.add(id);
  }

  /** Clears all faults. */
  public heal(): void {
    this.#unreachableWorkers.clear();
    this.store.isCutOff = false;
    this.setDown(false);
  }

  /** Ends tasks whose run time is over or whose lease has expired. */
  public advanceWorkers(): void {
    for (const worker of this.#workers) worker.advance(this.#context.clock.now());
  }

  /**
   * Runs one step: claims the shard, or decides as its owner.
   *
   * @param takeoverIndex - newest takeovers that this data centre has read
   */
  public tick(takeoverIndex: TakeoverIndex): void {
    if (this.isDown) return;
    const owner = this.#owner;
    if (owner === undefined) {
      const wallMs = this.#context.clock.wallTime();
      if (!this.#isClaiming && !takeoverIndex.isPending(this.name, this.shardName, wallMs)) {
        void this.#claim();
      }
      return;
    }
    if (!owner.isOpen) void this.#open(owner);
    if (this.#claimManager.state === 'unsettled') return;
    if (!this.#checkCutOff(owner)) return;
    if (owner.isOpen) owner.shard.applyTakeovers(takeoverIndex);
    this.#poll(owner);
    owner.shard.applyLoads([]);
    owner.shard.tick();
    if (owner.isOpen) void this.#inherit(owner, takeoverIndex);
    this.runEffects();
  }

  /** Dispatches waiting requests and executes the effects of the shard. */
  public runEffects(): void {
    const owner = this.#owner;
    if (owner === undefined || this.#claimManager.state === 'unsettled') return;
    const isConfirmed = this.#claimManager.state === 'confirmed';
    if (owner.isOpen && (isConfirmed || owner.shard.hasMajority)) {
      owner.shard.dispatch(100, isConfirmed);
    }
    for (const effect of owner.shard.takeEffects()) this.#execute(owner, effect);
  }

  /**
   * Submits a request to the owner.
   *
   * @param request - the request
   * @param remainingMs - time until its deadline in milliseconds
   * @param heldEpoch - epoch of a previous owner that held the request
   * @returns the state of the request or the reason for its refusal; undefined if there is no owner
   */
  public submit(
    request: Request,
    remainingMs: number,
    heldEpoch?: number,
  ): Result<RequestView, ReturnType<typeof createFailure>> | undefined {
    const result = this.shard?.submit({
      call: 'submit',
      shard: this.shardName,
      request,
      remainingMs,
      detached: request.detached ? 'yes' : 'no',
      ...(heldEpoch === undefined ? {} : { heldEpoch }),
    });
    this.runEffects();
    return result;
  }

  #createKeeper(): ClaimManager {
    const { process } = this.dependencies;
    return new ClaimManager(this.dependencies, this.shardName, process, process);
  }

  #createTerms(): ReleaseTermsManager {
    return new ReleaseTermsManager(this.dependencies, this.shardName);
  }

  #endOwner(): void {
    this.#owner?.journal.close();
    this.#owner = undefined;
  }

  async #claim(): Promise<void> {
    const claimManager = this.#claimManager;
    this.#isClaiming = true;
    const claim = await claimManager.acquire();
    if (claimManager !== this.#claimManager) return;
    this.#isClaiming = false;
    if (claim.isErr()) return;
    const { clock, random, policy } = this.#context;
    const { recorder, invariant, process } = this.dependencies;
    const { epoch } = claim.value;
    const dataCentre = this.name;
    const shard = new Shard(
      {
        shard: this.shardName,
        dataCentre,
        epoch,
        owner: process,
        provisional: false,
        clock,
        random,
        recorder,
        invariant,
      },
      process,
      policy,
    );
    const journal = new Journal(this.store, clock, random, this.shardName, epoch);
    const owner: Owner = {
      shard,
      journal,
      polled: new Set(),
      isOpen: false,
      isOpening: false,
      releasedAt: undefined,
    };
    this.#owner = owner;
    shard.applyHosts(
      this.#workers.map(({ id }) => ({
        id,
        role: 'worker',
        state: 'live',
        dataCentre,
        address: id,
      })),
    );
    await claimManager.renewWhile(() => this.#owner === owner);
    if (this.#owner === owner) this.#endOwner();
  }

  /**
   * Opens the shard. As in a host process, the takeovers are read before the journal, so that no
   * request can start that another shard has taken over.
   */
  async #open(owner: Owner): Promise<void> {
    if (owner.isOpening) return;
    owner.isOpening = true;
    const takeoverIndex = await new TakeoverEditor(this.dependencies).read();
    const isPublished =
      takeoverIndex.isOk() &&
      (await this.#termsManager.write(this.#context.policy.releaseDelaysMs));
    if (takeoverIndex.isOk() && isPublished) {
      owner.shard.applyTakeovers(takeoverIndex.value);
      const entries = await owner.journal.open();
      if (entries.isOk() && this.#owner === owner) {
        const readId = (entry: (typeof entries.value)[number]): string => {
          if (entry.entry === 'accepted') return entry.request.id;
          return entry.entry === 'finished' ? entry.view.id : entry.requestId;
        };
        owner.shard.loadJournal(
          entries.value.filter(
            (entry) => !takeoverIndex.value.isTakenOverFrom(readId(entry), this.shardName),
          ),
        );
        owner.isOpen = true;
      }
    }
    owner.isOpening = false;
  }

  /**
   * Releases queues after their delay without contact to the store. Returns false if the ownership
   * has ended.
   */
  #checkCutOff(owner: Owner): boolean {
    const { lastContactAt: contactAt } = this.#claimManager;
    if (owner.releasedAt !== undefined && contactAt > owner.releasedAt) {
      void this.#claimManager.release();
      this.#endOwner();
      return false;
    }
    const { releaseDelaysMs: releases } = this.#context.policy;
    const { published } = this.#termsManager;
    const now = this.#context.clock.now();
    const queues = listReleasedQueues({ releases, published, contactAt, now });
    if (queues.size > 0) {
      owner.releasedAt ??= now;
      owner.journal.close();
      owner.shard.releaseQueues(queues);
    }
    return true;
  }

  async #inherit(owner: Owner, takeoverIndex: TakeoverIndex): Promise<void> {
    for (const takeover of takeoverIndex.listPendingInheritances(this.shardName)) {
      const ids = Object.entries(takeover.requests).flatMap(([id, to]) =>
        to === this.shardName ? [id] : [],
      );
      const entries = await readJournal(this.store, takeover.shard);
      if (entries.isErr() || this.#owner !== owner) return;
      const isDone = owner.shard.takeOver(entries.value, new Set(ids));
      this.runEffects();
      if (isDone)
        await new TakeoverEditor(this.dependencies).markInherited(takeover, this.shardName);
    }
  }

  #poll(owner: Owner): void {
    // The first renewal after a lease has expired only yields the clock of the worker; the second
    // one grants a lease.
    for (const id of owner.polled) for (const _ of [1, 2]) this.#renew(owner, id);
  }

  #renew(owner: Owner, id: string): void {
    const now = this.#context.clock.now();
    const worker = this.#findWorker(id);
    const next = worker === undefined ? undefined : owner.shard.createRenewal(id);
    if (worker === undefined || next === undefined) return;
    const refusal = worker.renew(next.renewal);
    if (refusal === undefined) owner.shard.applyReport(id, worker.report(now, next.renewal), now);
    else owner.shard.applyRefusal(id, refusal);
  }

  /** Finds a worker; undefined if the owner cannot reach it. */
  #findWorker(id: string): ModelWorker | undefined {
    return this.#unreachableWorkers.has(id)
      ? undefined
      : this.#workers.find((each) => each.id === id);
  }

  #execute(owner: Owner, effect: Effect): void {
    const now = this.#context.clock.now();
    switch (effect.effect) {
      case 'start': {
        const { request, index, taskId } = effect.start.assignment;
        const worker = this.#findWorker(effect.worker);
        const response =
          worker === undefined
            ? createFailure('timeout', 'no answer')
            : worker.start(now, effect.start);
        owner.shard.applyStartResponse(request.id, index, taskId, response);
        break;
      }
      case 'command':
        this.#findWorker(effect.worker)?.command(effect.command);
        break;
      case 'poll':
        owner.polled.add(effect.worker);
        break;
      case 'commit':
        void this.#commit(owner, effect);
        break;
      case 'standDown':
        void this.#claimManager.release();
        if (this.#owner === owner) this.#endOwner();
        break;
      case 'changed':
      case 'interrupt':
        break;
    }
  }

  async #commit(
    owner: Owner,
    { ticket, entry }: Extract<Effect, { effect: 'commit' }>,
  ): Promise<void> {
    const result = await owner.journal.append(entry);
    if (this.#owner !== owner) return;
    if (result.isErr() && result.error.kind === 'storeConflict') {
      void this.#claimManager.release();
      this.#endOwner();
      return;
    }
    owner.shard.applyCommitResult(ticket, result.isErr() ? result.error : undefined);
    this.runEffects();
  }
}
