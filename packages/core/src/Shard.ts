import type {
  CancelCall,
  Failure,
  HeldRequest,
  HostRecord,
  JournalEntry,
  Report,
  RequestView,
  Resources,
  Roster,
  ShardLoad,
  ShardSnapshot,
  ShardStatus,
  SubmitCall,
  WorkerRefusal,
} from '@toucanline/schema';
import type { Result } from 'neverthrow';
import { addResources } from './addResources.js';
import { createShardComponents } from './createShardComponents.js';
import type { Effect } from './Effect.js';
import type { KeyRing } from './KeyRing.js';
import type { LoweredLimit } from './LoweredLimit.js';
import type { Policy } from './Policy.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';
import { ShardStateTransfer } from './ShardStateTransfer.js';
import type { ShardComponents } from './ShardComponents.js';
import { ShardRequests } from './ShardRequests.js';
import { ShardSettings } from './ShardSettings.js';
import { ShardWorkers } from './ShardWorkers.js';
import type { TakeoverIndex } from './TakeoverIndex.js';
import { zeroResources } from './zeroResources.js';

/**
 * Makes the decisions for one shard during one ownership. Inputs are method calls; actions for the host process
 * are returned as effects. The class does no I/O.
 */
export class Shard {
  readonly #context: ShardContext;
  readonly #settings: ShardSettings;
  readonly #components: ShardComponents;
  readonly #requests: ShardRequests;
  readonly #workers: ShardWorkers;
  readonly #stateTransfer: ShardStateTransfer;
  #effects: Effect[] = [];

  /**
   * @param context - identity of the ownership and services of the host process
   * @param address - link address of the owner, sent to peers
   * @param policy - current policy
   */
  public constructor(context: Omit<ShardContext, 'emit'>, address: string, policy: Policy) {
    this.#context = { ...context, emit: (effect) => this.#effects.push(effect) };
    this.#settings = new ShardSettings(policy);
    this.#components = createShardComponents(this.#context, address, this.#settings);
    this.#requests = new ShardRequests(this.#context, this.#components, this.#settings);
    this.#workers = new ShardWorkers(this.#context, this.#components, () => {
      this.#requests.finishRecovery();
    });
    this.#stateTransfer = new ShardStateTransfer(this.#context, this.#components);
    this.applyPolicy(policy);
  }

  /** Epoch of this ownership. */
  public get epoch(): number {
    return this.#context.epoch;
  }

  /** Name of the shard. */
  public get name(): string {
    return this.#context.shard;
  }

  /** Whether recovery is complete. */
  public get isRecovered(): boolean {
    return this.#components.recovery.isComplete;
  }

  /** Whether this owner holds the leases of more than half of the known workers. */
  public get hasMajority(): boolean {
    return this.#components.majority.isHeld();
  }

  /**
   * Removes and returns the effects that were emitted since the last call.
   *
   * @returns the effects in the order in which they were emitted
   */
  public takeEffects(): readonly Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /**
   * Applies the policy of a new revision of the configuration.
   *
   * @param policy - new policy
   */
  public applyPolicy(policy: Policy): void {
    this.#settings.applyPolicy(policy);
    this.#components.fairShare.setWeights(policy.weights, policy.fairShareHalfLifeMs);
    this.#components.fleet.incrementVersion();
  }

  /** {@inheritDoc ShardRequests.applyKeys} */
  public applyKeys(keyRing: Pick<KeyRing, 'isWithdrawn'>): void {
    this.#requests.applyKeys(keyRing);
  }

  /** {@inheritDoc ShardWorkers.applyHosts} */
  public applyHosts(hosts: readonly HostRecord[]): void {
    this.#workers.applyHosts(hosts);
  }

  /**
   * Sets the resources that each limited team may use in this shard.
   *
   * @param allotments - allotment per team that has a limit
   * @param lowered - lowered limits per team whose use has to shrink
   */
  public applyAllotments(
    allotments: ReadonlyMap<string, Resources>,
    lowered: ReadonlyMap<string, LoweredLimit> = new Map(),
  ): void {
    this.#components.ledger.setAllotments(allotments);
    this.#components.enforcer.setLoweredLimits(lowered);
  }

  /**
   * Applies the loads of other shards to the fair shares of teams.
   *
   * @param loads - newest load of each other shard
   */
  public applyLoads(loads: readonly ShardLoad[]): void {
    let capacity = this.#components.fleet.totalCapacity;
    const use = new Map<string, Resources>();
    for (const load of loads) {
      capacity = addResources(capacity, load.room);
      for (const [team, amount] of Object.entries(load.use)) {
        use.set(team, addResources(use.get(team) ?? zeroResources, amount));
      }
    }
    this.#components.fairShare.setFleetLoad(capacity, use);
  }

  /** {@inheritDoc ShardStateTransfer.createSnapshot} */
  public createSnapshot(sent?: ReadonlySet<string>): ShardSnapshot {
    return this.#stateTransfer.createSnapshot(sent);
  }

  /** {@inheritDoc ShardStateTransfer.describeFinished} */
  public describeFinished(): Generator<HeldRequest> {
    return this.#stateTransfer.describeFinished();
  }

  /** {@inheritDoc ShardStateTransfer.loadJournal} */
  public loadJournal(
    entries: readonly JournalEntry[],
    roster?: Omit<Roster, 'shard' | 'epoch'>,
  ): void {
    this.#stateTransfer.loadJournal(entries, roster);
  }

  /** {@inheritDoc ShardStateTransfer.restoreSnapshot} */
  public restoreSnapshot(snapshot: ShardSnapshot, finished?: readonly RequestRecord[]): void {
    this.#stateTransfer.restoreSnapshot(snapshot, finished);
  }

  /**
   * Releases queues until the end of the ownership, because the data centre had no contact with the store for
   * their release delay.
   *
   * @param queues - names of the queues
   */
  public releaseQueues(queues: ReadonlySet<string>): void {
    this.#components.relinquished.releaseQueues(queues);
    this.#components.relinquished.tick();
  }

  /**
   * Applies the record of takeovers. Requests that other data centres took over are stopped and not started
   * again.
   *
   * @param takeovers - newest record of takeovers
   */
  public applyTakeovers(takeovers: TakeoverIndex): void {
    this.#components.relinquished.applyTakeovers(takeovers);
    this.#components.relinquished.tick();
  }

  /** {@inheritDoc ShardRequests.takeOver} */
  public takeOver(entries: readonly JournalEntry[], ids: ReadonlySet<string>): boolean {
    return this.#requests.takeOver(entries, ids);
  }

  /** {@inheritDoc ShardRequests.addOutcomeUnknown} */
  public addOutcomeUnknown(request: SubmitCall['request']): void {
    this.#requests.addOutcomeUnknown(request);
  }

  /** {@inheritDoc ShardRequests.hasRequest} */
  public hasRequest(requestId: string): boolean {
    return this.#requests.hasRequest(requestId);
  }

  /** {@inheritDoc ShardStateTransfer.describeRoster} */
  public describeRoster(): Omit<Roster, 'shard' | 'epoch'> {
    return this.#stateTransfer.describeRoster();
  }

  /** {@inheritDoc ShardStateTransfer.describeUnpersisted} */
  public describeUnpersisted(): readonly (SubmitCall | CancelCall)[] {
    return this.#stateTransfer.describeUnpersisted();
  }

  /** Proceeds without the journal of previous owners, because the store is unreachable. */
  public skipJournal(): void {
    this.#components.recovery.markJournalLoaded();
  }

  /** {@inheritDoc ShardRequests.isJournaled} */
  public isJournaled(request: SubmitCall['request']): boolean {
    return this.#requests.isJournaled(request);
  }

  /** {@inheritDoc ShardRequests.submit} */
  public submit(call: SubmitCall): Result<RequestView, Failure> {
    return this.#requests.submit(call);
  }

  /** {@inheritDoc ShardRequests.isCommitting} */
  public isCommitting(requestId: string): boolean {
    return this.#requests.isCommitting(requestId);
  }

  /** {@inheritDoc ShardRequests.persistRequest} */
  public persistRequest(requestId: string): void {
    this.#requests.persistRequest(requestId);
  }

  /** {@inheritDoc ShardRequests.isJournalSettled} */
  public isJournalSettled(requestId: string): boolean {
    return this.#requests.isJournalSettled(requestId);
  }

  /** {@inheritDoc ShardRequests.applyCommitResult} */
  public applyCommitResult(ticket: number, failure?: Failure): void {
    this.#requests.applyCommitResult(ticket, failure);
  }

  /** {@inheritDoc ShardRequests.read} */
  public read(requestId: string, team?: string): Result<RequestView, Failure> {
    return this.#requests.read(requestId, team);
  }

  /** {@inheritDoc ShardRequests.registerInterest} */
  public registerInterest(requestId: string): void {
    this.#requests.registerInterest(requestId);
  }

  /** {@inheritDoc ShardRequests.isWaitOver} */
  public isWaitOver(requestId: string): boolean {
    return this.#requests.isWaitOver(requestId);
  }

  /** {@inheritDoc ShardRequests.cancel} */
  public cancel(requestId: string, team?: string): Result<RequestView, Failure> {
    return this.#requests.cancel(requestId, team);
  }

  /** {@inheritDoc ShardWorkers.drain} */
  public drain(workerId: string, drained: boolean): Result<void, Failure> {
    return this.#workers.drain(workerId, drained);
  }

  /** {@inheritDoc ShardWorkers.createRenewal} */
  public createRenewal(workerId: string): ReturnType<ShardWorkers['createRenewal']> {
    return this.#workers.createRenewal(workerId);
  }

  /** {@inheritDoc ShardWorkers.applyReport} */
  public applyReport(workerId: string, report: Report, sentAt: number): void {
    this.#workers.applyReport(workerId, report, sentAt);
  }

  /** {@inheritDoc ShardWorkers.applyRefusal} */
  public applyRefusal(workerId: string, refusal: WorkerRefusal): void {
    this.#workers.applyRefusal(workerId, refusal);
  }

  /** {@inheritDoc ShardWorkers.applyStartResponse} */
  public applyStartResponse(
    requestId: string,
    index: number,
    taskId: string,
    response?: WorkerRefusal | Failure,
  ): void {
    this.#workers.applyStartResponse(requestId, index, taskId, response);
  }

  /** Applies the passage of time: expired leases, deadlines, retention and the end of recovery. */
  public tick(): void {
    this.#components.relinquished.tick();
    this.#components.tracker.expireLeases();
    this.#components.fleet.tick();
    this.#components.lifecycle.tick();
    this.#components.acceptance.tick();
    this.#components.quarantine.tick();
    this.#components.overuse.tick();
    this.#requests.finishRecovery();
    this.#components.fairShare.advance(this.#context.clock.now(), this.#components.ledger.use);
    this.#components.stopper.tick();
    this.#components.enforcer.tick();
    this.#components.preemption.tick();
  }

  /**
   * Starts waiting requests.
   *
   * @param maxStarts - maximum number of requests to start in one call
   * @param isClaimed - whether this owner certainly holds the claim, so that there is no other owner
   * @returns true if more requests could start
   */
  public dispatch(maxStarts: number, isClaimed = true): boolean {
    this.#components.relinquished.removeReleased();
    this.#components.fleet.setClaimConfirmed(isClaimed);
    return this.#components.dispatcher.run(maxStarts);
  }

  /**
   * Describes the load of the shard for peers.
   *
   * @returns the load
   */
  public describeLoad(): ShardLoad {
    return this.#components.description.describeLoad();
  }

  /**
   * Describes the status of the shard for operators.
   *
   * @returns the status
   */
  public describeStatus(): ShardStatus {
    return this.#components.description.describeStatus();
  }
}
