import {
  AllotmentReconciler,
  periods,
  Shard,
  type KeyRing,
  type Policy,
  type TakeoverIndex,
  type WorkerGateway,
} from '@toucanline/core';
import type {
  HostRecord,
  ReplyBody,
  ShardLoad,
  ShardSnapshot,
  SubmitCall,
  WaitCall,
} from '@toucanline/schema';
import type { ProcessRuntime } from '@toucanline/runtime';
import { EffectRunner } from './EffectRunner.js';
import { ShardTimer } from './ShardTimer.js';
import type { Ownership } from './Ownership.js';
import { OwnershipPhase } from './OwnershipPhase.js';
import { CallHandler } from './CallHandler.js';
import { ShardJournal } from './ShardJournal.js';
import type { SnapshotAssembler } from './SnapshotAssembler.js';
import { WorkerCalls } from './WorkerCalls.js';
import { WorkTransfer } from './WorkTransfer.js';

/** Added to the longest lease of a former owner, in milliseconds. */
const leaseMarginMs = 500;
/** Bounds of the wait for commands and commits that are under way when the shard is handed over. */
const quiesceTimeoutMs = 300;
const quiescePollIntervalMs = 2;

/** Runs the decisions of one shard under one ownership: composes the parts and passes inputs on. */
export class ShardRunner {
  readonly #runtime: ProcessRuntime;
  readonly #shard: Shard;
  readonly #ownership: Ownership;
  readonly #phase: OwnershipPhase;
  readonly #allotments: AllotmentReconciler;
  readonly #workerCalls: WorkerCalls;
  readonly #workTransfer: WorkTransfer;
  readonly #journal: ShardJournal;
  readonly #callHandler: CallHandler;
  readonly #effects: EffectRunner;
  readonly #timer: ShardTimer;
  #hasStartedAllotments = false;

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
    const { clock } = runtime;
    const phase = new OwnershipPhase(ownership, clock);
    const onChange = (): void => {
      this.#effects.run();
    };
    this.#runtime = runtime;
    this.#ownership = ownership;
    this.#phase = phase;
    this.#shard = this.#createShard(policy);
    const shard = this.#shard;
    this.#workerCalls = new WorkerCalls({
      clock,
      gateway,
      shard,
      isActive: () => phase.isActive,
      canAct: () => phase.canAct,
      onResponse: onChange,
    });
    const passing = { runtime, shard, isActive: () => phase.isOperational, onChange };
    this.#workTransfer = new WorkTransfer(passing, policy);
    const parts = { runtime, shard, ownership, phase, succession: this.#workTransfer, onChange };
    const onOpen = (): void => {
      this.#timer.updateServing();
      onChange();
    };
    this.#journal = new ShardJournal({ ...parts, onOpen });
    const journal = this.#journal;
    this.#callHandler = new CallHandler({ ...parts, clock, journal });
    this.#timer = new ShardTimer({ ...parts, journal });
    this.#effects = new EffectRunner({
      shard,
      phase,
      workers: this.#workerCalls,
      journal,
      calls: this.#callHandler,
      // Workers that do not fence obey a former owner until its longest lease has ended.
      earliestStartAt:
        clock.now() + (gateway.hasFencing ? 0 : periods.workerLeaseMs + leaseMarginMs),
      now: () => clock.now(),
      prepareDispatch: () => {
        this.#startAllotments();
      },
      onLost: ownership.onLost,
    });
    // Tells the first allotments at once, so everything else has to be there.
    this.#allotments = this.#createAllotments(policy);
  }

  /** The decisions. */
  public get shard(): Shard {
    return this.#shard;
  }

  /** Whether requests may be submitted here. */
  public get isServing(): boolean {
    return this.#phase.isServing;
  }

  /** Whether the claim was confirmed by the store a moment ago. */
  public get hasConfirmedClaim(): boolean {
    return this.#phase.isServing && this.#phase.isClaimConfirmed;
  }

  /**
   * Checks whether the state may pass to a new claim of this process.
   *
   * @returns true if nobody else can have owned the shard since
   */
  public canReuseState(): boolean {
    const isWhole =
      this.isServing && this.#shard.isRecovered && !this.#workTransfer.hasReleasedQueues;
    return isWhole && !this.#phase.isWithoutClaim && this.#shard.hasMajority;
  }

  /** Whether this process still acts as the owner. */
  public get isActive(): boolean {
    return this.#phase.isActive;
  }

  /**
   * Starts to serve, at once if the former owner handed its state over.
   *
   * @param inheritance - state of the former owner, if it handed the shard over
   */
  public start(inheritance?: ReturnType<SnapshotAssembler['take']>): void {
    if (inheritance !== undefined) {
      this.#shard.restoreSnapshot(inheritance.snapshot, inheritance.finished);
      this.#allotments.inherit(inheritance.snapshot.allotments);
    }
    void this.#journal.open();
    void this.#timer.run();
  }

  /**
   * Stops to act and describes the state for the next owner.
   *
   * @param sent - identifiers of finished requests that the next owner got before
   * @returns the snapshot, once the commands and commits under way are settled or a bound has passed
   */
  public async freeze(sent?: ReadonlySet<string>): Promise<ShardSnapshot> {
    this.#phase.freeze();
    const { clock } = this.#runtime;
    const endsAt = clock.now() + quiesceTimeoutMs;
    while (
      (this.#workerCalls.pendingStarts > 0 || this.#journal.isCommitting) &&
      clock.now() < endsAt
    ) {
      await clock.sleep(quiescePollIntervalMs);
    }
    return this.#shard.createSnapshot(sent);
  }

  /** Ends this ownership: nothing is sent to workers any more. */
  public stop(): void {
    this.#phase.end();
    this.#journal.close();
    this.#callHandler.notifyAll();
  }

  /**
   * Applies a new policy.
   *
   * @param policy - policy in effect
   */
  public applyPolicy(policy: Policy): void {
    this.#workTransfer.applyPolicy(policy);
    this.#shard.applyPolicy(policy);
    this.#allotments.applyPolicy(policy, this.#runtime.configurationHolder.revision);
    this.#effects.run();
  }

  /**
   * Applies a new list of keys.
   *
   * @param keyRing - keys in effect
   */
  public applyKeys(keyRing: KeyRing): void {
    this.#shard.applyKeys(keyRing);
    this.#effects.run();
  }

  /**
   * Applies the host list.
   *
   * @param hosts - workers of the shard
   */
  public applyHosts(hosts: readonly HostRecord[]): void {
    this.#shard.applyHosts(hosts);
    this.#effects.run();
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
  public applyTakeovers(book: TakeoverIndex): void {
    this.#shard.applyTakeovers(book);
    if (this.#journal.isOpen) void this.#workTransfer.takeOverAssigned(book);
    this.#effects.run();
  }

  /**
   * Takes a request.
   *
   * @param offered - the request
   * @returns its state, or the failure
   */
  public submit(offered: SubmitCall): Promise<ReplyBody> {
    return this.#callHandler.submit(offered);
  }

  /**
   * Waits until a request is answered.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @param waitMs - longest wait in milliseconds
   * @param options - see `RequestCalls.wait`
   * @returns its state, or the failure
   */
  public wait(
    requestId: string,
    team: string | undefined,
    waitMs: number,
    options: Pick<WaitCall, 'keep' | 'handsIn'> = {},
  ): Promise<ReplyBody> {
    return this.#callHandler.wait(requestId, team, waitMs, options);
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns its state, or the failure
   */
  public cancel(requestId: string, team: string | undefined): Promise<ReplyBody> {
    return this.#callHandler.cancel(requestId, team);
  }

  /**
   * Starts or ends an operator's drain of a worker.
   *
   * @param worker - name of the worker
   * @param drained - whether it shall take no new work
   * @returns done, and whether the store has it, or the failure
   */
  public drain(worker: string, drained: boolean): Promise<ReplyBody> {
    return this.#callHandler.drain(worker, drained);
  }

  #createShard(policy: Policy): Shard {
    const { clock, random, recorder, invariant, settings } = this.#runtime;
    const { claim, basis } = this.#ownership;
    const { shard, epoch, owner, address } = claim;
    // Workers need not keep the lease of a former owner that stopped to act.
    const provisional = basis === 'provisional';
    const { dataCentre } = settings;
    const identity = { shard, dataCentre, epoch, owner, provisional };
    return new Shard({ ...identity, clock, random, recorder, invariant }, address, policy);
  }

  #createAllotments(policy: Policy): AllotmentReconciler {
    const {
      store,
      clock,
      random,
      recorder,
      invariant,
      configurationHolder: holder,
    } = this.#runtime;
    const { claim } = this.#ownership;
    return new AllotmentReconciler(
      {
        store,
        clock,
        random,
        recorder,
        invariant,
        readLoad: () => this.#shard.describeLoad(),
        isRecovered: () => this.#shard.isRecovered,
        isProvisional: this.#phase.isWithoutClaim,
        onChange: (spendable, lowered) => {
          this.#shard.applyAllotments(spendable, lowered);
          this.#effects.run();
        },
      },
      claim.shard,
      claim.epoch,
      policy,
      holder.revision,
    );
  }

  /** Allotments are planned from the use that the workers reported, so not before that is known. */
  #startAllotments(): void {
    if (this.#hasStartedAllotments || !this.#shard.isRecovered) return;
    this.#hasStartedAllotments = true;
    void this.#allotments.run(() => this.#phase.isOperational);
  }
}
