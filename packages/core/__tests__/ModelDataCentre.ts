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

/** What the data centres of a model share. */
export interface SimulationContext {
  readonly clock: TimerClock;
  readonly random: RandomSource;
  readonly store: Store;
  readonly checker: ExecutionChecker;
  readonly policy: Policy;
}

/** One ownership of the shard. */
interface Owner {
  readonly shard: Shard;
  readonly journal: Journal;
  readonly polled: Set<string>;
  isOpen: boolean;
  isOpening: boolean;
  releasedAt: number | undefined;
}

/** A data centre with one shard: its candidate for the ownership and its workers. */
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
  #claimKeeper: ClaimManager;
  #termsKeeper: ReleaseTermsManager;
  #owner: Owner | undefined;
  #isClaiming = false;

  /**
   * @param world - what the data centres share
   * @param name - its name
   * @param shardName - its shard
   * @param rates - speed of the clock of each worker
   */
  public constructor(
    world: SimulationContext,
    name: string,
    shardName: string,
    rates: readonly number[],
  ) {
    this.#context = world;
    this.name = name;
    this.shardName = shardName;
    this.store = new PartitionableStore(world.store);
    this.#workers = rates.map(
      (rate, index) => new ModelWorker(`${name}-w${index}`, rate, world.checker),
    );
    this.#claimKeeper = this.#createKeeper();
    this.#termsKeeper = this.#createTerms();
  }

  /** The owner, if one takes requests. */
  public get shard(): Shard | undefined {
    const isServing = this.#owner?.isOpen === true && this.#claimKeeper.state !== 'unsettled';
    return isServing ? this.#owner?.shard : undefined;
  }

  /** Parts for the editors and takeovers that run here. */
  public get parts(): Readonly<{
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

  /** Kills the owner; another process takes its place, and the workers go on. */
  public killOwner(): void {
    this.#endOwner();
    this.#process += 1;
    this.#claimKeeper = this.#createKeeper();
    this.#termsKeeper = this.#createTerms();
    this.#isClaiming = false;
  }

  /** Fails as a whole, or comes back with restarted workers. */
  public setDown(isDown: boolean): void {
    if (isDown === this.isDown) return;
    this.isDown = isDown;
    this.killOwner();
    for (const worker of this.#workers) worker.reboot(this.#context.clock.now());
  }

  /**
   * Cuts a worker off from the owner, or ends that.
   *
   * @param index - which worker
   */
  public toggleReachability(index: number): void {
    const id = this.#workers[index % this.#workers.length]?.id ?? '';
    if (!this.#unreachableWorkers.delete(id)) this.#unreachableWorkers.add(id);
  }

  /** Ends all faults. */
  public heal(): void {
    this.#unreachableWorkers.clear();
    this.store.isCutOff = false;
    this.setDown(false);
  }

  /** Lets the workers end what is over. */
  public advanceWorkers(): void {
    for (const worker of this.#workers) worker.advance(this.#context.clock.now());
  }

  /**
   * Decides once: claims the shard or acts as its owner.
   *
   * @param book - newest record of takeovers that this data centre read
   */
  public tick(book: TakeoverIndex): void {
    if (this.isDown) return;
    const owner = this.#owner;
    if (owner === undefined) {
      const wallMs = this.#context.clock.wallTime();
      if (!this.#isClaiming && !book.isPending(this.name, this.shardName, wallMs)) {
        void this.#claim();
      }
      return;
    }
    if (!owner.isOpen) void this.#open(owner);
    if (this.#claimKeeper.state === 'unsettled') return;
    if (!this.#checkCutOff(owner)) return;
    if (owner.isOpen) owner.shard.applyTakeovers(book);
    this.#poll(owner);
    owner.shard.applyLoads([]);
    owner.shard.tick();
    if (owner.isOpen) void this.#inherit(owner, book);
    this.runEffects();
  }

  /** Starts what may start and carries the effects out. */
  public runEffects(): void {
    const owner = this.#owner;
    if (owner === undefined || this.#claimKeeper.state === 'unsettled') return;
    const isConfirmed = this.#claimKeeper.state === 'confirmed';
    if (owner.isOpen && (isConfirmed || owner.shard.hasMajority)) {
      owner.shard.dispatch(100, isConfirmed);
    }
    for (const effect of owner.shard.takeEffects()) this.#execute(owner, effect);
  }

  /**
   * Hands a request in.
   *
   * @param request - the request
   * @param remainingMs - time to its deadline
   * @param heldEpoch - epoch of an owner that held it before
   * @returns its state; undefined if there is no owner
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
    const { process } = this.parts;
    return new ClaimManager(this.parts, this.shardName, process, process);
  }

  #createTerms(): ReleaseTermsManager {
    return new ReleaseTermsManager(this.parts, this.shardName);
  }

  #endOwner(): void {
    this.#owner?.journal.close();
    this.#owner = undefined;
  }

  async #claim(): Promise<void> {
    const keeper = this.#claimKeeper;
    this.#isClaiming = true;
    const claim = await keeper.acquire();
    if (keeper !== this.#claimKeeper) return;
    this.#isClaiming = false;
    if (claim.isErr()) return;
    const { clock, random, policy } = this.#context;
    const { recorder, invariant, process } = this.parts;
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
    await keeper.renewWhile(() => this.#owner === owner);
    if (this.#owner === owner) this.#endOwner();
  }

  /** Learns what passed to others before anything of the journal can start, as a host does. */
  async #open(owner: Owner): Promise<void> {
    if (owner.isOpening) return;
    owner.isOpening = true;
    const book = await new TakeoverEditor(this.parts).read();
    const isPublished =
      book.isOk() && (await this.#termsKeeper.write(this.#context.policy.releaseDelaysMs));
    if (book.isOk() && isPublished) {
      owner.shard.applyTakeovers(book.value);
      const entries = await owner.journal.open();
      if (entries.isOk() && this.#owner === owner) {
        const readId = (entry: (typeof entries.value)[number]): string => {
          if (entry.entry === 'accepted') return entry.request.id;
          return entry.entry === 'finished' ? entry.view.id : entry.requestId;
        };
        owner.shard.loadJournal(
          entries.value.filter(
            (entry) => !book.value.isTakenOverFrom(readId(entry), this.shardName),
          ),
        );
        owner.isOpen = true;
      }
    }
    owner.isOpening = false;
  }

  /** Gives queues up after their time without contact; returns false if the ownership ended. */
  #checkCutOff(owner: Owner): boolean {
    const { lastContactAt: contactAt } = this.#claimKeeper;
    if (owner.releasedAt !== undefined && contactAt > owner.releasedAt) {
      void this.#claimKeeper.release();
      this.#endOwner();
      return false;
    }
    const { releaseDelaysMs: releases } = this.#context.policy;
    const { published } = this.#termsKeeper;
    const now = this.#context.clock.now();
    const queues = listReleasedQueues({ releases, published, contactAt, now });
    if (queues.size > 0) {
      owner.releasedAt ??= now;
      owner.journal.close();
      owner.shard.releaseQueues(queues);
    }
    return true;
  }

  async #inherit(owner: Owner, book: TakeoverIndex): Promise<void> {
    for (const takeover of book.listPendingInheritances(this.shardName)) {
      const ids = Object.entries(takeover.requests).flatMap(([id, to]) =>
        to === this.shardName ? [id] : [],
      );
      const entries = await readJournal(this.store, takeover.shard);
      if (entries.isErr() || this.#owner !== owner) return;
      const isDone = owner.shard.takeOver(entries.value, new Set(ids));
      this.runEffects();
      if (isDone) await new TakeoverEditor(this.parts).markInherited(takeover, this.shardName);
    }
  }

  #poll(owner: Owner): void {
    // The first renewal after a lease has ended only brings the clock of the worker; the second one a lease.
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

  /** Finds a worker that the owner reaches. */
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
        void this.#claimKeeper.release();
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
      void this.#claimKeeper.release();
      this.#endOwner();
      return;
    }
    owner.shard.applyCommitResult(ticket, result.isErr() ? result.error : undefined);
    this.runEffects();
  }
}
