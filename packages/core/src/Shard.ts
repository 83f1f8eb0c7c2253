import type {
  CancelCall,
  HeldRequest,
  Failure,
  HostRecord,
  JournalEntry,
  Renewal,
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
import { err, ok, type Result } from 'neverthrow';
import { Acceptance } from './Acceptance.js';
import { addResources } from './addResources.js';
import { Admission } from './Admission.js';
import { createFailure } from './createFailure.js';
import { createHandIns } from './createHandIns.js';
import { createSnapshot } from './createSnapshot.js';
import { describeFinished } from './describeFinished.js';
import { Dispatcher } from './Dispatcher.js';
import type { Effect } from './Effect.js';
import { FairShare } from './FairShare.js';
import { Fleet } from './Fleet.js';
import type { KeyRing } from './KeyRing.js';
import { InheritedWork } from './InheritedWork.js';
import { isAnswered } from './isAnswered.js';
import { LimitEnforcer } from './LimitEnforcer.js';
import { LostWork } from './LostWork.js';
import type { LoweredLimit } from './LoweredLimit.js';
import { LeaseMajority } from './LeaseMajority.js';
import { OutgrownTasks } from './OutgrownTasks.js';
import { periods } from './periods.js';
import type { Policy } from './Policy.js';
import { Quarantine } from './Quarantine.js';
import { Recovery } from './Recovery.js';
import { RequestLifecycle } from './RequestLifecycle.js';
import type { RequestRecord } from './RequestRecord.js';
import { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import { ShardDescription } from './ShardDescription.js';
import type { TakeoverBook } from './TakeoverBook.js';
import { TakenWork } from './TakenWork.js';
import { TaskStopper } from './TaskStopper.js';
import { TaskTracker } from './TaskTracker.js';
import { TeamLedger } from './TeamLedger.js';
import { UrgentPreemption } from './UrgentPreemption.js';
import { WaitEstimator } from './WaitEstimator.js';
import { WaitingQueue } from './WaitingQueue.js';
import { zeroResources } from './zeroResources.js';

/**
 * The decisions for one shard under one ownership. Inputs are method calls; what the host process has
 * to do comes out as effects. It does no I/O.
 */
export class Shard {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;
  readonly #table = new RequestTable();
  readonly #queue = new WaitingQueue();
  readonly #ledger = new TeamLedger();
  readonly #fairShare = new FairShare();
  readonly #recovery: Recovery;
  readonly #majority: LeaseMajority;
  readonly #acceptance: Acceptance;
  readonly #lifecycle: RequestLifecycle;
  readonly #tracker: TaskTracker;
  readonly #stopper: TaskStopper;
  readonly #enforcer: LimitEnforcer;
  readonly #preemption: UrgentPreemption;
  readonly #quarantine: Quarantine;
  readonly #outgrown: OutgrownTasks;
  readonly #dispatcher: Dispatcher;
  readonly #inherited: InheritedWork;
  readonly #description: ShardDescription;
  readonly #lost: LostWork;
  readonly #taken: TakenWork;
  #effects: Effect[] = [];
  #policy: Policy;
  #keyRing: Pick<KeyRing, 'isWithdrawn'> | undefined;

  /**
   * @param context - identity of the ownership and the operations of the host process
   * @param address - link address of the owner, told to peers
   * @param policy - policy in effect
   */
  public constructor(context: Omit<ShardContext, 'emit'>, address: string, policy: Policy) {
    this.#context = { ...context, emit: (effect) => this.#effects.push(effect) };
    this.#policy = policy;
    this.#fleet = new Fleet(this.#context);
    this.#recovery = new Recovery(this.#context, this.#fleet);
    this.#majority = new LeaseMajority(this.#context, this.#fleet);
    const fleet = this.#fleet;
    const recovery = this.#recovery;
    const table = this.#table;
    const queue = this.#queue;
    const ledger = this.#ledger;
    const estimator = new WaitEstimator();
    const { clock } = context;
    const admission = new Admission({ fleet, queue, recovery, estimator, clock });
    const readPolicy = (): Policy => this.#policy;
    this.#lifecycle = new RequestLifecycle(this.#context, {
      fleet,
      table,
      queue,
      recovery,
      readPolicy,
    });
    const lifecycle = this.#lifecycle;
    const quarantine = new Quarantine(this.#context, fleet, readPolicy);
    const stopper = new TaskStopper(this.#context, { fleet, table, lifecycle });
    const outgrown = new OutgrownTasks(this.#context, fleet, lifecycle, stopper);
    this.#quarantine = quarantine;
    this.#outgrown = outgrown;
    this.#tracker = new TaskTracker(this.#context, {
      fleet,
      table,
      ledger,
      lifecycle,
      quarantine,
      outgrown,
    });
    const fairShare = this.#fairShare;
    this.#stopper = stopper;
    this.#enforcer = new LimitEnforcer(this.#context, { fleet, ledger, stopper, readPolicy });
    this.#preemption = new UrgentPreemption(this.#context, {
      fleet,
      queue,
      ledger,
      fairShare,
      stopper,
    });
    this.#dispatcher = new Dispatcher(this.#context, {
      fleet,
      queue,
      ledger,
      fairShare,
      recovery,
      preemption: this.#preemption,
      estimator,
    });
    const tracker = this.#tracker;
    const inherited = { fleet, table, queue, recovery, lifecycle, tracker, readPolicy };
    this.#inherited = new InheritedWork(this.#context, inherited);
    this.#acceptance = new Acceptance(this.#context, {
      table,
      admission,
      lifecycle,
      inherited: this.#inherited,
      readPolicy,
      readKeyRing: () => this.#keyRing,
    });
    const isCommitting = (requestId: string): boolean => this.#acceptance.isCommitting(requestId);
    const losing = { fleet, table, queue, recovery, lifecycle, isCommitting };
    this.#lost = new LostWork(this.#context, losing);
    const taken = { table, lifecycle, inherited: this.#inherited };
    this.#taken = new TakenWork(this.#context, taken);
    const described = { fleet, table, queue, ledger, recovery, readPolicy };
    this.#description = new ShardDescription(this.#context, address, described);
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

  /** Whether all workers are accounted for. */
  public get isRecovered(): boolean {
    return this.#recovery.isComplete;
  }

  /** Whether this owner holds the leases of more than half of the known workers. */
  public get holdsMajority(): boolean {
    return this.#majority.isHeld();
  }

  /**
   * Takes the effects that were decided since the last call.
   *
   * @returns the effects in the order of their decision
   */
  public takeEffects(): readonly Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /**
   * Applies a new revision of the document.
   *
   * @param policy - policy in effect
   */
  public applyPolicy(policy: Policy): void {
    this.#policy = policy;
    this.#fairShare.setWeights(policy.weights, policy.halfLifeMs);
    this.#fleet.touch();
  }

  /**
   * Applies a new list of keys: waiting requests of withdrawn keys are refused.
   *
   * @param keyRing - keys in effect
   */
  public applyKeys(keyRing: Pick<KeyRing, 'isWithdrawn'>): void {
    this.#keyRing = keyRing;
    // A request that is held back during recovery may run somewhere and is not in the queue.
    for (const record of this.#queue.list()) {
      const { keyId } = record.request;
      const isWaiting = record.state === 'waiting' && record.stopPlan === undefined;
      if (!isWaiting || keyId === undefined || !keyRing.isWithdrawn(keyId)) continue;
      const failure = createFailure('withdrawnKey', `the key ${keyId} was withdrawn`);
      this.#lifecycle.stopRequest(record, { next: 'failed', failure });
    }
  }

  /**
   * Applies the host list.
   *
   * @param hosts - workers of this shard
   */
  public applyHosts(hosts: readonly HostRecord[]): void {
    this.#fleet.applyHosts(hosts);
    this.#quarantine.applyHosts();
    this.#recovery.noteHosts();
  }

  /**
   * Sets what each team may run here.
   *
   * @param allotments - allotment per team with a limit
   * @param lowered - teams whose use has to shrink
   */
  public applyAllotments(
    allotments: ReadonlyMap<string, Resources>,
    lowered: ReadonlyMap<string, LoweredLimit> = new Map(),
  ): void {
    this.#ledger.setAllotments(allotments);
    this.#enforcer.setLowered(lowered);
  }

  /**
   * Applies what the owners of other shards told.
   *
   * @param loads - newest load of each other shard
   */
  public applyLoads(loads: readonly ShardLoad[]): void {
    let capacity = this.#fleet.room;
    const use = new Map<string, Resources>();
    for (const load of loads) {
      capacity = addResources(capacity, load.room);
      for (const [team, amount] of Object.entries(load.use)) {
        use.set(team, addResources(use.get(team) ?? zeroResources, amount));
      }
    }
    this.#fairShare.setFleet(capacity, use);
  }

  /**
   * Describes the state for a peer that takes the shard over.
   *
   * @param sent - identifiers of finished requests that the peer got before
   * @returns the snapshot
   */
  public createSnapshot(sent: ReadonlySet<string> = new Set()): ShardSnapshot {
    const { committing } = this.#acceptance;
    const isCommitting = (record: RequestRecord): boolean => committing.has(record);
    const { allotments } = this.#ledger;
    const parts = [this.#context, this.#table, this.#fleet] as const;
    const snapshot = createSnapshot(...parts, allotments, isCommitting, sent);
    return { ...snapshot, quarantined: this.#quarantine.list() };
  }

  /**
   * Describes the finished requests for a peer that will take the shard over.
   *
   * @returns the requests one by one, also while the shard goes on
   */
  public describeFinished(): Generator<HeldRequest> {
    return describeFinished(this.#context, this.#table);
  }

  /**
   * Loads the journal of earlier owners.
   *
   * @param entries - entries, oldest first
   * @param roster - workers that the former owner leased, of which the host list may miss one that runs its
   * tasks, those that operators drained, and those in quarantine
   */
  public loadJournal(
    entries: readonly JournalEntry[],
    { workers, drained = [], quarantined = [] }: Omit<Roster, 'shard' | 'epoch'> = { workers: [] },
  ): void {
    for (const worker of drained) this.#fleet.setDrained(worker, true);
    if (!this.#recovery.isComplete) this.#fleet.inherit(workers);
    this.#quarantine.restore(quarantined);
    this.#inherited.loadJournal(entries);
  }

  /**
   * Starts from the snapshot of the owner of the epoch before, after the host list was applied.
   *
   * @param snapshot - its state when it stopped to act
   * @param finished - records of finished requests that it handed over before
   */
  public restoreSnapshot(snapshot: ShardSnapshot, finished: readonly RequestRecord[] = []): void {
    for (const record of finished) this.#table.add(record);
    this.#quarantine.restore(snapshot.quarantined ?? []);
    this.#inherited.restoreSnapshot(snapshot);
  }

  /**
   * Gives the work of queues up, because the data centre had no contact with the store for too long. It
   * lasts until the ownership ends.
   *
   * @param queues - names of the queues
   */
  public release(queues: ReadonlySet<string>): void {
    this.#lost.release(queues);
    this.#lost.tick();
  }

  /**
   * Applies what passed to other data centres: such requests are stopped and not started again.
   *
   * @param book - the record of takeovers
   */
  public applyTakeovers(book: TakeoverBook): void {
    this.#lost.applyTakeovers(book);
    this.#lost.tick();
  }

  /**
   * Takes in requests of a lost data centre that this shard was given.
   *
   * @param entries - journal of the lost shard, oldest first
   * @param ids - requests that this shard was given
   * @returns true once the journal of this shard has all of them
   */
  public takeOver(entries: readonly JournalEntry[], ids: ReadonlySet<string>): boolean {
    return this.#taken.take(entries, ids);
  }

  /**
   * Notes a request that a lost data centre may have started and that must not start again.
   *
   * @param request - the request
   */
  public addUnknown(request: SubmitCall['request']): void {
    this.#taken.addUnknown(request);
  }

  /**
   * Checks whether a request is known here.
   *
   * @param requestId - identifier of the request
   * @returns true if it is
   */
  public knows(requestId: string): boolean {
    return this.#table.find(requestId) !== undefined;
  }

  /**
   * Lists the workers that the next owner has to know of.
   *
   * @returns those that may run tasks, those that operators drained and those in quarantine
   */
  public describeRoster(): Omit<Roster, 'shard' | 'epoch'> {
    const quarantined = this.#quarantine.list();
    return {
      workers: this.#fleet.listLeased(),
      drained: this.#fleet.drained,
      ...(quarantined.length === 0 ? {} : { quarantined }),
    };
  }

  /** Serves without the journal of earlier owners, because the store cannot be reached. */
  public skipJournal(): void {
    this.#recovery.noteJournal();
  }

  /**
   * Checks whether the end of a request has to be in the journal.
   *
   * @param request - the request
   * @returns true if it is accepted only after a commit
   */
  public isJournaled(request: SubmitCall['request']): boolean {
    return this.#acceptance.isJournaled(request);
  }

  /**
   * Takes a request from an entry. The same request handed in again returns its current state.
   *
   * @param call - the request
   * @returns its state; or the reason why it was not taken, which proves that it did not run
   */
  public submit(call: SubmitCall): Result<RequestView, Failure> {
    const { queue } = call.request;
    if (this.#lost.isReleased(queue)) {
      const detail = `the data centre of ${this.name} is cut off and gave queue ${queue} up`;
      return err(createFailure('noOwner', detail, 1));
    }
    return this.#acceptance.submit(call);
  }

  /**
   * Whether the acceptance of a request still waits for its commit.
   *
   * @param requestId - identifier of the request
   * @returns true until the journal confirmed it
   */
  public isCommitting(requestId: string): boolean {
    return this.#acceptance.isCommitting(requestId);
  }

  /**
   * Writes a request that goes on to the journal, because its caller stops to wait.
   *
   * @param requestId - identifier of the request
   */
  public keep(requestId: string): void {
    const record = this.#table.find(requestId);
    if (record !== undefined) this.#acceptance.keep(record);
  }

  /**
   * Describes what only this owner and the entries know: requests whose callers stopped to wait, and cancellations.
   *
   * @returns the calls that tell it to the next owner
   */
  public describeUnkept(): readonly (SubmitCall | CancelCall)[] {
    const isOwn = (record: RequestRecord): boolean =>
      this.#table.find(record.id) === record && !this.#lost.hasLost(record.request);
    const cancelled = this.#lifecycle.unwrittenCancellations.filter(isOwn);
    const unkept = new Set([...this.#acceptance.unkept.filter(isOwn), ...cancelled]);
    const cancellations = cancelled.map(({ id, request: { team } }): CancelCall => ({
      call: 'cancel',
      requestId: id,
      team,
    }));
    return [...createHandIns(this.#context, [...unkept]), ...cancellations];
  }

  /**
   * Whether the journal has what is known about a request, or certainly will not have it for now.
   *
   * @param requestId - identifier of the request
   * @returns false while the commit of its acceptance or of its end is under way
   */
  public isJournalSettled(requestId: string): boolean {
    const record = this.#table.find(requestId);
    if (record === undefined) return true;
    if (this.#lifecycle.isWriting(record)) return false;
    return record.isFinished || record.isDurable || !record.isAccepted;
  }

  /**
   * Confirms a commit.
   *
   * @param ticket - ticket of the effect
   * @param failure - why the entry is not in the journal, unless it is
   */
  public confirmCommit(ticket: number, failure?: Failure): void {
    if (this.#taken.confirm(ticket, failure)) return;
    if (this.#lifecycle.confirmFinish(ticket, failure)) return;
    if (ticket < 0) {
      this.#confirmIntent(ticket, failure);
      return;
    }
    this.#acceptance.confirm(ticket, failure);
  }

  /**
   * Reads the state of a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns the state; `unknownRequest` if there is none that the caller may see
   */
  public read(requestId: string, team?: string): Result<RequestView, Failure> {
    return this.#find(requestId, team).map((record) => record.describe());
  }

  /**
   * Notes that somebody asks for a request.
   *
   * @param requestId - identifier of the request
   */
  public noteWanted(requestId: string): void {
    const record = this.#table.find(requestId);
    if (record !== undefined) this.#lifecycle.noteWanted(record);
  }

  /**
   * Checks whether waiting longer for a request makes sense.
   *
   * @param requestId - identifier of the request
   * @returns false while the request is known and not answered
   */
  public isSettled(requestId: string): boolean {
    const record = this.#table.find(requestId);
    return record === undefined || isAnswered(record.describe());
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns the state after the cancellation began
   */
  public cancel(requestId: string, team?: string): Result<RequestView, Failure> {
    return this.#find(requestId, team).map((record) => {
      this.#lifecycle.cancel(record);
      return record.describe();
    });
  }

  /**
   * Starts or ends an operator's drain of a worker.
   *
   * @param workerId - name of the worker
   * @param drained - whether it shall take no new work
   * @returns nothing, or `unknownWorker`
   */
  public drain(workerId: string, drained: boolean): Result<void, Failure> {
    const worker = this.#fleet.find(workerId);
    if (worker === undefined) {
      return err(createFailure('unknownWorker', `no worker ${workerId} in ${this.name}`));
    }
    this.#fleet.setDrained(workerId, drained);
    this.#context.recorder.record('workerLeaving', {
      worker: workerId,
      detail: drained ? 'drained by an operator' : 'drain ended by an operator',
    });
    return ok(undefined);
  }

  /**
   * Creates the next renewal for a worker.
   *
   * @param workerId - name of the worker
   * @returns address and message; undefined if the worker left the fleet
   */
  public createRenewal(
    workerId: string,
  ): { readonly address: string; readonly renewal: Renewal } | undefined {
    const worker = this.#fleet.find(workerId);
    if (worker === undefined) return undefined;
    const { shard, epoch, owner, provisional } = this.#context;
    const isKnown = worker.clock !== undefined && !worker.isLapsed && !worker.contact.hasRestarted;
    // A candidate without a majority asks for short leases, so that it does not block the one that wins.
    const isTrial = provisional && !this.holdsMajority;
    const leaseMs = isTrial ? periods.trialLeaseMs : periods.workerLeaseMs;
    const waitMs = isTrial ? periods.trialRenewalMs : periods.workerRenewalMs;
    // Counted from the last report, not from now: otherwise each attempt to reach a dead worker would
    // extend the lease that it might hold, and its tasks would never be given up.
    const reportedMs = worker.clock?.reportedMs ?? 0;
    const mustLapse = isKnown && this.#lost.mustLapse(worker);
    const leaseUntil = mustLapse ? worker.leaseUntil : isKnown ? reportedMs + leaseMs : 0;
    if (isKnown) worker.contact.grantLease(leaseUntil);
    return {
      address: worker.address,
      renewal: {
        authority: { shard, epoch, owner, provisional, bootId: isKnown ? worker.bootId : '' },
        leaseUntil,
        acknowledged: isKnown ? worker.contact.sequence : 0,
        full: worker.contact.wantsFull,
        waitMs: isKnown && !worker.contact.wantsFull ? waitMs : 0,
      },
    };
  }

  /**
   * Applies the report of a worker.
   *
   * @param workerId - name of the worker
   * @param report - the report
   * @param sentAt - local monotonic time before the renewal was sent, in milliseconds
   */
  public applyReport(workerId: string, report: Report, sentAt: number): void {
    const worker = this.#fleet.find(workerId);
    if (worker === undefined) return;
    const { epoch, owner } = this.#context;
    if (report.epoch > epoch || (report.epoch === epoch && report.owner !== owner)) {
      this.#standDown(`worker ${workerId} accepted epoch ${report.epoch}`, report.epoch);
      return;
    }
    this.#tracker.applyReport(worker, report, sentAt);
    this.#finishRecovery();
  }

  /**
   * Applies a worker's refusal of a renewal or a command. A lease that another owner still holds is
   * asked for again with the next renewal.
   *
   * @param workerId - name of the worker
   * @param refusal - the refusal
   */
  public applyRefusal(workerId: string, refusal: WorkerRefusal): void {
    const worker = this.#fleet.find(workerId);
    if (refusal.refusal === 'staleEpoch') {
      this.#standDown(`worker ${workerId}: ${refusal.detail}`, refusal.epoch);
    } else if (refusal.refusal === 'wrongBoot') worker?.contact.markRestarted();
    else if (refusal.refusal !== 'leaseHeld') worker?.contact.requestFull();
  }

  /**
   * Applies the response to a start command.
   *
   * @param requestId - identifier of the request
   * @param index - index of the task
   * @param taskId - identifier of the attempt
   * @param response - undefined if accepted; a refusal; or a failure if the outcome is unknown
   */
  public applyStartResponse(
    requestId: string,
    index: number,
    taskId: string,
    response?: WorkerRefusal | Failure,
  ): void {
    const task = this.#table.find(requestId)?.findTask(index);
    if (task?.id === taskId) this.#tracker.applyStartResponse(task, response);
    if (response === undefined || !('refusal' in response)) return;
    if (response.refusal === 'staleEpoch') this.#standDown(response.detail, response.epoch);
    if (response.refusal === 'wrongBoot' && task !== undefined) {
      this.#fleet.find(task.worker)?.contact.markRestarted();
    }
  }

  /** Applies the passage of time: expired leases, deadlines, retention, the end of recovery. */
  public tick(): void {
    this.#lost.tick();
    this.#tracker.expireLeases();
    this.#fleet.tick();
    this.#lifecycle.tick();
    this.#acceptance.tick();
    this.#quarantine.tick();
    this.#outgrown.tick();
    this.#finishRecovery();
    this.#fairShare.advance(this.#context.clock.now(), this.#ledger.use);
    this.#stopper.tick();
    this.#enforcer.tick();
    this.#preemption.tick();
  }

  /**
   * Starts waiting work.
   *
   * @param maxStarts - bound on the requests started in one call
   * @param claimed - whether this owner certainly holds the claim, so that no other one exists
   * @returns true if more could start
   */
  public dispatch(maxStarts: number, claimed = true): boolean {
    this.#lost.forgetReleased();
    this.#fleet.noteClaim(claimed);
    return this.#dispatcher.run(maxStarts);
  }

  /**
   * Describes the shard to peers.
   *
   * @returns the load
   */
  public describeLoad(): ShardLoad {
    return this.#description.describeLoad();
  }

  /**
   * Describes the shard to operators.
   *
   * @returns the status
   */
  public describeStatus(): ShardStatus {
    return this.#description.describeStatus();
  }

  #find(requestId: string, team?: string): Result<RequestRecord, Failure> {
    const record = this.#table.find(requestId);
    if (record === undefined || (team !== undefined && record.request.team !== team)) {
      return err(createFailure('unknownRequest', `no request ${requestId}`));
    }
    return ok(record);
  }

  #confirmIntent(ticket: number, failure?: Failure): void {
    const task = this.#dispatcher.takeIntent(ticket);
    if (task?.isActive !== true) return;
    const record = this.#table.find(task.assignment.request.id);
    if (record === undefined) return;
    if (failure === undefined && this.#dispatcher.sendStart(task)) return;
    this.#tracker.disproveStart(record, task, failure?.detail ?? 'the worker left the fleet');
  }

  #finishRecovery(): void {
    const hasEnded = this.#inherited.finishRecovery();
    if (hasEnded && this.#keyRing !== undefined) this.applyKeys(this.#keyRing);
  }

  #standDown(detail: string, epoch: number): void {
    this.#context.emit({ effect: 'standDown', detail, epoch });
  }
}
