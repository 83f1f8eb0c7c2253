import type {
  Failure,
  HostRecord,
  JournalEntry,
  Renewal,
  Report,
  RequestView,
  Resources,
  ShardLoad,
  ShardSnapshot,
  ShardStatus,
  SubmitCall,
  WorkerRefusal,
} from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { addResources } from './addResources.js';
import { Admission } from './Admission.js';
import { createFailure } from './createFailure.js';
import { createSnapshot } from './createSnapshot.js';
import { Dispatcher } from './Dispatcher.js';
import type { Effect } from './Effect.js';
import { FairShare } from './FairShare.js';
import { Fleet } from './Fleet.js';
import type { KeyRing } from './KeyRing.js';
import { isAnswered } from './isAnswered.js';
import { LimitEnforcer } from './LimitEnforcer.js';
import type { LoweredLimit } from './LoweredLimit.js';
import { LeaseMajority } from './LeaseMajority.js';
import { periods } from './periods.js';
import type { Policy } from './Policy.js';
import { Recovery } from './Recovery.js';
import { RequestLifecycle } from './RequestLifecycle.js';
import { RequestRecord } from './RequestRecord.js';
import { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import { summariseWork } from './summariseWork.js';
import { TaskStopper } from './TaskStopper.js';
import { TaskTracker } from './TaskTracker.js';
import { TeamLedger } from './TeamLedger.js';
import { UrgentPreemption } from './UrgentPreemption.js';
import { WaitingQueue } from './WaitingQueue.js';
import { zeroResources } from './zeroResources.js';

/** Largest difference that is expected between the wall clocks of two hosts. */
const wallClockMarginMs = 5000;
/** Time within which an owner confirms or disproves a start: its window, two polls and a lease. */
const uncertainMs = 60_000;
/** Covers the transport of a request and the difference in speed of two clocks over its deadline. */
const heldMarginMs = 5000;

/**
 * The decisions for one shard under one ownership. Inputs are method calls; what the host process has
 * to do comes out as effects. It does no I/O.
 */
export class Shard {
  readonly #context: ShardContext;
  readonly #address: string;
  readonly #fleet: Fleet;
  readonly #table = new RequestTable();
  readonly #queue = new WaitingQueue();
  readonly #ledger = new TeamLedger();
  readonly #fairShare = new FairShare();
  readonly #recovery: Recovery;
  readonly #majority: LeaseMajority;
  readonly #admission: Admission;
  readonly #lifecycle: RequestLifecycle;
  readonly #tracker: TaskTracker;
  readonly #stopper: TaskStopper;
  readonly #enforcer: LimitEnforcer;
  readonly #preemption: UrgentPreemption;
  readonly #dispatcher: Dispatcher;
  readonly #commits = new Map<number, RequestRecord>();
  #effects: Effect[] = [];
  #nextTicket = 1;
  #policy: Policy;
  #keyRing: Pick<KeyRing, 'isWithdrawn'> | undefined;

  /**
   * @param context - identity of the ownership and the operations of the host process
   * @param address - link address of the owner, told to peers
   * @param policy - policy in effect
   */
  public constructor(context: Omit<ShardContext, 'emit'>, address: string, policy: Policy) {
    this.#context = { ...context, emit: (effect) => this.#effects.push(effect) };
    this.#address = address;
    this.#policy = policy;
    this.#fleet = new Fleet(this.#context);
    this.#recovery = new Recovery(this.#context, this.#fleet);
    this.#majority = new LeaseMajority(this.#context, this.#fleet);
    const fleet = this.#fleet;
    const recovery = this.#recovery;
    const table = this.#table;
    const queue = this.#queue;
    const ledger = this.#ledger;
    this.#admission = new Admission({ fleet, queue, recovery });
    const readPolicy = (): Policy => this.#policy;
    this.#lifecycle = new RequestLifecycle(this.#context, {
      fleet,
      table,
      queue,
      recovery,
      readPolicy,
    });
    const lifecycle = this.#lifecycle;
    this.#tracker = new TaskTracker(this.#context, { fleet, table, ledger, lifecycle });
    const fairShare = this.#fairShare;
    const stopper = new TaskStopper(this.#context, { fleet, table, lifecycle });
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
    });
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
   * Loads the journal of earlier owners. Requests that workers reported before or that a snapshot brought
   * keep their state.
   *
   * @param entries - entries, oldest first
   */
  public loadJournal(entries: readonly JournalEntry[]): void {
    const { clock } = this.#context;
    const loaded = new Map<string, RequestRecord>();
    for (const entry of entries) {
      if (entry.entry === 'accepted') {
        const deadlineAt = clock.now() + entry.deadlineAtMs - clock.wallTime();
        const known = this.#table.find(entry.request.id);
        if (known?.deadlineAt === Infinity) known.setDeadline(deadlineAt);
        if (known !== undefined) continue;
        const record = new RequestRecord(entry.request, clock.now(), deadlineAt);
        // The earlier owner may have started it: only the reports of the workers prove that it did not.
        const age = clock.wallTime() - (entry.atMs ?? -Infinity) + wallClockMarginMs;
        record.markUncertain(0, clock.now() - age);
        record.setAccepted(true);
        this.#table.add(record);
        loaded.set(record.id, record);
      } else if (entry.entry === 'intent') {
        loaded.get(entry.requestId)?.markUncertain(1, Infinity);
      } else {
        const record = loaded.get(entry.view.id);
        loaded.delete(entry.view.id);
        record?.restore(entry.view, clock.now());
      }
    }
    for (const record of loaded.values()) {
      if (this.#recovery.isComplete) this.#release(record);
      else this.#recovery.hold(record);
    }
    this.#recovery.noteJournal();
  }

  /**
   * Describes the state for a peer that takes the shard over.
   *
   * @returns the snapshot
   */
  public createSnapshot(): ShardSnapshot {
    const committing = new Set(this.#commits.values());
    return createSnapshot(this.#context, this.#table, this.#fleet, (record) =>
      committing.has(record),
    );
  }

  /**
   * Starts from the snapshot of the owner of the epoch before, after the host list was applied.
   *
   * @param snapshot - its state when it stopped to act
   */
  public restoreSnapshot({ requests, reports }: ShardSnapshot): void {
    const now = this.#context.clock.now();
    const open: RequestRecord[] = [];
    const cancelled: RequestRecord[] = [];
    for (const held of requests) {
      const { request, remainingMs, attempt, retries, uncertain, view } = held;
      const record = new RequestRecord(request, now, now + (remainingMs ?? Infinity));
      record.restoreCounters(attempt, retries);
      this.#table.add(record);
      if (held.cancelled === true) cancelled.push(record);
      if (view !== undefined) record.restore(view, now);
      else if (uncertain) {
        record.markUncertain(attempt, now - uncertainMs);
        this.#recovery.hold(record);
      } else open.push(record);
    }
    for (const report of reports) {
      const worker = this.#fleet.find(report.worker);
      if (worker === undefined) continue;
      // The transport of the snapshot is not bounded, so only the lower bound of the clock is known.
      this.#tracker.applyReport(worker, report, -Infinity);
      worker.grantLease(report.leaseUntil);
      worker.requestFull();
    }
    for (const record of open) this.#enqueueRest(record);
    for (const record of cancelled) this.#lifecycle.cancel(record);
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
    return request.detached || (!request.idempotent && request.idempotencyKey !== undefined);
  }

  /**
   * Takes a request from an entry. The same request handed in again returns its current state.
   *
   * @param call - the request
   * @returns its state; or the reason why it was not taken, which proves that it did not run
   */
  public submit(call: SubmitCall): Result<RequestView, Failure> {
    const { request, remainingMs, heldEpoch, heldMs = Infinity } = call;
    const { clock, recorder, shard, epoch } = this.#context;
    const earlier = this.#table.findEarlier(request);
    if (earlier !== undefined) return this.#rejoin(earlier, call);
    const checked = this.#checkKey(call).andThen(() => this.#admission.check(this.#policy, call));
    if (checked.isErr()) {
      const { kind, detail } = checked.error;
      recorder.record('requestRefused', { requestId: request.id, detail: `${kind}: ${detail}` });
      return err(checked.error);
    }
    const record = new RequestRecord(request, clock.now(), clock.now() + remainingMs);
    this.#table.add(record);
    recorder.record('requestAdmitted', { requestId: request.id, team: request.team, shard });
    const wasHeld = heldEpoch !== undefined && heldEpoch < epoch;
    if (wasHeld) record.markUncertain(0, clock.now() - heldMs - heldMarginMs);
    if (this.isJournaled(request)) this.#commitAccepted(record);
    else this.#enqueue(record);
    return ok(record.describe());
  }

  /**
   * Whether the acceptance of a request still waits for its commit.
   *
   * @param requestId - identifier of the request
   * @returns true until the journal confirmed it
   */
  public isCommitting(requestId: string): boolean {
    for (const record of this.#commits.values()) if (record.id === requestId) return true;
    return false;
  }

  /**
   * Confirms a commit.
   *
   * @param ticket - ticket of the effect
   * @param failure - why the entry is not in the journal, unless it is
   */
  public confirmCommit(ticket: number, failure?: Failure): void {
    if (this.#lifecycle.confirmFinish(ticket, failure)) return;
    if (ticket < 0) {
      this.#confirmIntent(ticket, failure);
      return;
    }
    const record = this.#commits.get(ticket);
    if (record === undefined) return;
    this.#commits.delete(ticket);
    if (failure === undefined) this.#enqueue(record);
    else {
      const isOpen = failure.kind === 'outcomeUnknown';
      // The acceptance may be in the journal, where the next owner finds and starts it.
      if (isOpen) record.markUncertain(0);
      else record.setAccepted(false);
      this.#lifecycle.finish(record, isOpen ? 'unknown' : 'refused', failure);
    }
    this.#context.emit({ effect: 'changed', requestId: record.id });
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
    worker.setDrained(drained);
    this.#fleet.touch();
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
    const isKnown = worker.clock !== undefined && !worker.isLapsed && !worker.hasRestarted;
    // Counted from the last report, not from now: otherwise each attempt to reach a dead worker would
    // extend the lease that it might hold, and its tasks would never be given up.
    const reportedMs = worker.clock?.reportedMs ?? 0;
    const leaseUntil = isKnown ? reportedMs + periods.workerLeaseMs : 0;
    if (isKnown) worker.grantLease(leaseUntil);
    return {
      address: worker.address,
      renewal: {
        authority: { shard, epoch, owner, provisional, bootId: isKnown ? worker.bootId : '' },
        leaseUntil,
        acknowledged: isKnown ? worker.sequence : 0,
        full: worker.wantsFull,
        waitMs: isKnown && !worker.wantsFull ? periods.workerRenewalMs : 0,
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
    } else if (refusal.refusal === 'wrongBoot') worker?.markRestarted();
    else if (refusal.refusal !== 'leaseHeld') worker?.requestFull();
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
      this.#fleet.find(task.worker)?.markRestarted();
    }
  }

  /** Applies the passage of time: expired leases, deadlines, retention, the end of recovery. */
  public tick(): void {
    this.#tracker.expireLeases();
    this.#lifecycle.tick();
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
   * @returns true if more could start
   */
  public dispatch(maxStarts: number): boolean {
    return this.#dispatcher.run(maxStarts);
  }

  /**
   * Describes the shard to peers.
   *
   * @returns the load
   */
  public describeLoad(): ShardLoad {
    const { shard, dataCentre, epoch, owner } = this.#context;
    return {
      shard,
      dataCentre,
      epoch,
      owner,
      address: this.#address,
      waiting: this.#queue.size,
      free: this.#fleet.free,
      room: this.#fleet.room,
      use: Object.fromEntries(this.#ledger.use),
      demand: Object.fromEntries(this.#queue.demand),
    };
  }

  /**
   * Describes the shard to operators.
   *
   * @returns the status
   */
  public describeStatus(): ShardStatus {
    const { shard, dataCentre, epoch, owner, provisional } = this.#context;
    const workers = this.#fleet.workers.map((worker) => worker.describe());
    const names = new Set([
      ...this.#ledger.use.keys(),
      ...Object.keys(this.#policy.document.teams),
    ]);
    const teams = [...names].map((team) => {
      const allotment = this.#ledger.readAllotment(team);
      return {
        team,
        use: this.#ledger.readUse(team),
        demand: this.#queue.demand.get(team) ?? zeroResources,
        waiting: this.#queue.countTeam(team),
        ...(allotment === undefined ? {} : { allotment }),
      };
    });
    return {
      shard,
      dataCentre,
      epoch,
      owner,
      provisional,
      recovering: !this.isRecovered,
      waiting: this.#queue.size,
      running: workers.reduce((sum, { tasks }) => sum + tasks, 0),
      workers,
      teams,
      work: summariseWork(this.#table.list()),
    };
  }

  /** An entry may not have learned yet that a key was withdrawn. */
  #checkKey({ request: { keyId } }: SubmitCall): Result<void, Failure> {
    if (keyId === undefined || this.#keyRing?.isWithdrawn(keyId) !== true) return ok(undefined);
    return err(createFailure('withdrawnKey', `the key ${keyId} was withdrawn`));
  }

  #find(requestId: string, team?: string): Result<RequestRecord, Failure> {
    const record = this.#table.find(requestId);
    if (record === undefined || (team !== undefined && record.request.team !== team)) {
      return err(createFailure('unknownRequest', `no request ${requestId}`));
    }
    return ok(record);
  }

  #rejoin(
    record: RequestRecord,
    { request, remainingMs }: SubmitCall,
  ): Result<RequestView, Failure> {
    const isSameBody = record.request.digest === request.digest;
    if (!isSameBody || record.request.queue !== request.queue) {
      const detail = 'the idempotency key was used with another request body or queue';
      return err(createFailure('conflictingKey', detail));
    }
    if (record.deadlineAt === Infinity) {
      record.setDeadline(this.#context.clock.now() + remainingMs);
    }
    return ok(record.describe());
  }

  #commitAccepted(record: RequestRecord): void {
    const { clock, emit } = this.#context;
    const ticket = this.#nextTicket;
    this.#nextTicket += 1;
    this.#commits.set(ticket, record);
    record.setAccepted(true);
    const left = record.deadlineAt - clock.now();
    const entry = {
      entry: 'accepted',
      request: record.request,
      deadlineAtMs: clock.wallTime() + left,
      atMs: clock.wallTime(),
    } as const;
    emit({ effect: 'commit', ticket, entry });
  }

  #confirmIntent(ticket: number, failure?: Failure): void {
    const task = this.#dispatcher.confirmIntent(ticket);
    if (task?.isActive !== true) return;
    const record = this.#table.find(task.assignment.request.id);
    if (record === undefined) return;
    if (failure === undefined && this.#dispatcher.sendStart(task)) return;
    this.#tracker.disproveStart(record, task, failure?.detail ?? 'the worker left the fleet');
  }

  /** Queues a request, or holds it back while an earlier owner may have it running. */
  #enqueue(record: RequestRecord): void {
    if (record.isFinished || record.stopPlan !== undefined) return;
    const mayRunAlready = record.ran !== 'no' || record.request.idempotencyKey !== undefined;
    if (mayRunAlready && !this.#recovery.isComplete) this.#recovery.hold(record);
    else this.#release(record);
  }

  /** Lets a held request go on: only proof or idempotence permits a start. */
  #release(record: RequestRecord): void {
    if (record.isFinished || record.activeTasks.length > 0) return;
    // The next tick ends a request whose deadline passed while it was held.
    if (this.#context.clock.now() >= record.deadlineAt) return;
    if (this.#recovery.disproves(record)) record.clearUncertain();
    const detail = 'a worker that may have run the request cannot be reached or restarted';
    if (record.ran === 'no' || record.request.idempotent) this.#queue.add(record);
    else this.#lifecycle.finish(record, 'unknown', createFailure('outcomeUnknown', detail));
  }

  /** Queues a request whose former owner had not started all of its tasks. */
  #enqueueRest(record: RequestRecord): void {
    if (record.isFinished || record.stopPlan !== undefined) return;
    if (record.pendingIndexes.length > 0) this.#queue.add(record);
  }

  #finishRecovery(): void {
    const held = this.#recovery.finish();
    if (held === undefined) return;
    for (const record of held) this.#release(record);
    if (this.#keyRing !== undefined) this.applyKeys(this.#keyRing);
    for (const record of this.#table.list()) {
      if (record.activeTasks.length === 0 || record.pendingIndexes.length === 0) continue;
      if (this.#recovery.disproves(record) || record.request.idempotent) this.#enqueueRest(record);
      else {
        const detail = 'a worker that may have run a task cannot be reached or restarted';
        const failure = createFailure('outcomeUnknown', detail);
        this.#lifecycle.stopRequest(record, { next: 'failed', failure });
      }
    }
    this.#fleet.touch();
  }

  #standDown(detail: string, epoch: number): void {
    this.#context.emit({ effect: 'standDown', detail, epoch });
  }
}
