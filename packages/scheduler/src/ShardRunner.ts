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

/** Margin that is added to the longest worker lease of a previous owner. */
const leaseMarginMs = 500;
/** Timeout and poll interval of the wait for commands and commits in progress when the shard is handed over. */
const quiesceTimeoutMs = 300;
const quiescePollIntervalMs = 2;

/** Runs one shard under one ownership: composes the components and forwards inputs to the decisions of the shard. */
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
   * @param runtime - runtime of the process
   * @param gateway - access to the workers
   * @param ownership - claim or other basis of the ownership
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
    const transferDependencies = { runtime, shard, isActive: () => phase.isOperational, onChange };
    this.#workTransfer = new WorkTransfer(transferDependencies, policy);
    const common = { runtime, shard, ownership, phase, workTransfer: this.#workTransfer, onChange };
    const onOpen = (): void => {
      this.#timer.updateServing();
      onChange();
    };
    this.#journal = new ShardJournal({ ...common, onOpen });
    const journal = this.#journal;
    this.#callHandler = new CallHandler({ ...common, clock, journal });
    this.#timer = new ShardTimer({ ...common, journal });
    this.#effects = new EffectRunner({
      shard,
      phase,
      workers: this.#workerCalls,
      journal,
      calls: this.#callHandler,
      // Workers without fencing accept commands of a previous owner until its longest lease has expired.
      earliestStartAt:
        clock.now() + (gateway.hasFencing ? 0 : periods.workerLeaseMs + leaseMarginMs),
      now: () => clock.now(),
      prepareDispatch: () => {
        this.#startAllotments();
      },
      onLost: ownership.onLost,
    });
    // Calls onChange at once with the first allotments, so all other components must exist by now.
    this.#allotments = this.#createAllotments(policy);
  }

  /** State and decisions of the shard. */
  public get shard(): Shard {
    return this.#shard;
  }

  /** Whether requests may be submitted here. */
  public get isServing(): boolean {
    return this.#phase.isServing;
  }

  /** Whether the runner serves under a claim whose store lease is certainly valid. */
  public get hasConfirmedClaim(): boolean {
    return this.#phase.isServing && this.#phase.isClaimConfirmed;
  }

  /**
   * Checks whether a new claim of this process can reuse the state.
   *
   * @returns true if the state is complete and no other process can have owned the shard since
   */
  public canReuseState(): boolean {
    const isComplete =
      this.isServing && this.#shard.isRecovered && !this.#workTransfer.hasReleasedQueues;
    return isComplete && !this.#phase.isWithoutClaim && this.#shard.hasMajority;
  }

  /** Whether the ownership has not ended. */
  public get isActive(): boolean {
    return this.#phase.isActive;
  }

  /**
   * Starts the runner: restores the state of the previous owner if it was handed over, opens the journal and starts
   * the timer.
   *
   * @param transferred - state that the previous owner handed over, if any
   */
  public start(transferred?: ReturnType<SnapshotAssembler['take']>): void {
    if (transferred !== undefined) {
      this.#shard.restoreSnapshot(transferred.snapshot, transferred.finishedRequests);
      this.#allotments.inherit(transferred.snapshot.allotments);
    }
    void this.#journal.open();
    void this.#timer.run();
  }

  /**
   * Stops all actions and creates a snapshot of the state for the next owner.
   *
   * @param sent - identifiers of finished requests that were already sent to the next owner
   * @returns the snapshot, once the start commands and commits in progress are completed or 300 ms have passed
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

  /** Ends the ownership: nothing more is sent to workers, commits stop, and waiting calls are answered. */
  public stop(): void {
    this.#phase.end();
    this.#journal.close();
    this.#callHandler.notifyAll();
  }

  /**
   * Applies a new policy.
   *
   * @param policy - new policy
   */
  public applyPolicy(policy: Policy): void {
    this.#workTransfer.applyPolicy(policy);
    this.#shard.applyPolicy(policy);
    this.#allotments.applyPolicy(policy, this.#runtime.configurationHolder.revision);
    this.#effects.run();
  }

  /**
   * Applies a new list of API keys.
   *
   * @param keyRing - keys in effect
   */
  public applyKeys(keyRing: KeyRing): void {
    this.#shard.applyKeys(keyRing);
    this.#effects.run();
  }

  /**
   * Applies a new host list.
   *
   * @param hosts - workers of the shard
   */
  public applyHosts(hosts: readonly HostRecord[]): void {
    this.#shard.applyHosts(hosts);
    this.#effects.run();
  }

  /**
   * Applies the loads that other owners announced.
   *
   * @param loads - loads of other shards
   */
  public applyLoads(loads: readonly ShardLoad[]): void {
    this.#shard.applyLoads(loads);
    this.#allotments.applyLoads(loads);
  }

  /**
   * Applies takeovers between data centres: drops requests that other shards took over, and takes over those assigned
   * to this shard.
   *
   * @param index - newest record of takeovers
   */
  public applyTakeovers(index: TakeoverIndex): void {
    this.#shard.applyTakeovers(index);
    if (this.#journal.isOpen) void this.#workTransfer.takeOverAssigned(index);
    this.#effects.run();
  }

  /**
   * Submits a request.
   *
   * @param call - submit call with the request
   * @returns state of the request, or the failure
   */
  public submit(call: SubmitCall): Promise<ReplyBody> {
    return this.#callHandler.submit(call);
  }

  /**
   * Waits until a request is answered or the time is over.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @param waitMs - longest wait in milliseconds
   * @param options - see `CallHandler.wait`
   * @returns state of the request, or the failure
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
   * @returns state of the request, or the failure
   */
  public cancel(requestId: string, team: string | undefined): Promise<ReplyBody> {
    return this.#callHandler.cancel(requestId, team);
  }

  /**
   * Starts or ends an operator's drain of a worker.
   *
   * @param worker - name of the worker
   * @param drained - whether the worker gets no new work
   * @returns `done` with whether the store has the drain, or the failure
   */
  public drain(worker: string, drained: boolean): Promise<ReplyBody> {
    return this.#callHandler.drain(worker, drained);
  }

  #createShard(policy: Policy): Shard {
    const { clock, random, recorder, invariant, settings } = this.#runtime;
    const { claim, basis } = this.#ownership;
    const { shard, epoch, owner, address } = claim;
    // After a handover, workers need not honour the lease of the previous owner, which has stopped.
    const provisional = basis === 'provisional';
    const { dataCentre } = settings;
    const identity = { shard, dataCentre, epoch, owner, provisional };
    return new Shard({ ...identity, clock, random, recorder, invariant }, address, policy);
  }

  #createAllotments(policy: Policy): AllotmentReconciler {
    const { store, clock, random, recorder, invariant, configurationHolder } = this.#runtime;
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
        onChange: (usable, lowered) => {
          this.#shard.applyAllotments(usable, lowered);
          this.#effects.run();
        },
      },
      claim.shard,
      claim.epoch,
      policy,
      configurationHolder.revision,
    );
  }

  /** Starts the planning of allotments once the shard is recovered: it needs the use that the workers reported. */
  #startAllotments(): void {
    if (this.#hasStartedAllotments || !this.#shard.isRecovered) return;
    this.#hasStartedAllotments = true;
    void this.#allotments.run(() => this.#phase.isOperational);
  }
}
