import type { Request, WorkKind } from '@toucanline/schema';
import { BatchPlacement } from './BatchPlacement.js';
import { calculateDominantShare } from './calculateDominantShare.js';
import { coversResources } from './coversResources.js';
import type { FairShare } from './FairShare.js';
import type { Fleet } from './Fleet.js';
import { GangPlacement } from './GangPlacement.js';
import { periods } from './periods.js';
import type { Placement } from './Placement.js';
import type { Recovery } from './Recovery.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import { scaleResources } from './scaleResources.js';
import { ServicePlacement } from './ServicePlacement.js';
import type { ShardContext } from './ShardContext.js';
import { TaskRecord } from './TaskRecord.js';
import type { UrgentPreemption } from './UrgentPreemption.js';
import type { TeamLedger } from './TeamLedger.js';
import type { WaitingQueue } from './WaitingQueue.js';
import type { WorkerRecord } from './WorkerRecord.js';

const placements: Readonly<Record<WorkKind, Placement>> = {
  service: new ServicePlacement(),
  batch: new BatchPlacement(),
  gang: new GangPlacement(),
};

/** Parts of the shard that the dispatcher reads and changes. */
interface DispatcherParts {
  readonly fleet: Fleet;
  readonly queue: WaitingQueue;
  readonly ledger: TeamLedger;
  readonly fairShare: FairShare;
  readonly recovery: Recovery;
  readonly preemption: UrgentPreemption;
}

/** Decides which waiting request starts next, and where. */
export class Dispatcher {
  readonly #context: ShardContext;
  readonly #parts: DispatcherParts;
  readonly #pendingIntents = new Map<number, TaskRecord>();
  #nextTicket = 1;

  /**
   * @param context - what the parts of the shard share
   * @param parts - the parts to decide over
   */
  public constructor(context: ShardContext, parts: DispatcherParts) {
    this.#context = context;
    this.#parts = parts;
  }

  /**
   * Starts waiting work.
   *
   * @param maxStarts - bound on the requests started in one call, so that the loop stays responsive
   * @returns true if more could start
   */
  public run(maxStarts: number): boolean {
    const now = this.#context.clock.now();
    for (let starts = 0; starts < maxStarts;) {
      const group = this.#chooseClass(now);
      const record = group?.findFirst(now);
      if (group === undefined || record === undefined) return false;
      if (this.#start(record, now)) starts += 1;
      else group.block(this.#version);
    }
    return true;
  }

  /**
   * Sends a start command whose intent is in the journal.
   *
   * @param ticket - ticket of the commit
   * @returns the task of the ticket, if there is one
   */
  public confirmIntent(ticket: number): TaskRecord | undefined {
    const task = this.#pendingIntents.get(ticket);
    this.#pendingIntents.delete(ticket);
    return task;
  }

  /**
   * Sends the start command of a placed task.
   *
   * @param task - the task
   * @returns false if the worker left the fleet since
   */
  public sendStart(task: TaskRecord): boolean {
    const worker = this.#parts.fleet.find(task.worker);
    if (worker?.clock === undefined) return false;
    const now = this.#context.clock.now();
    const latestStartAt = worker.clock.readLowerBound(now) + periods.startWindowMs;
    task.setLatestStart(latestStartAt);
    const { shard, epoch, owner, provisional, emit } = this.#context;
    const authority = { shard, epoch, owner, provisional, bootId: worker.bootId };
    emit({
      effect: 'start',
      worker: worker.id,
      address: worker.address,
      start: {
        authority,
        assignment: task.assignment,
        latestStartAt,
        leaseUntil: worker.leaseUntil,
      },
    });
    return true;
  }

  get #version(): number {
    return this.#parts.fleet.version + this.#parts.ledger.version;
  }

  /** Urgent work first, then the team that is furthest below its share. */
  #chooseClass(now: number): RequestClass | undefined {
    const { queue, ledger, fairShare } = this.#parts;
    let best: RequestClass | undefined;
    let bestRank = Infinity;
    for (const team of queue.teams) {
      const teamRank = fairShare.rankTeam(team, ledger.readUse(team));
      for (const group of queue.listClasses(team)) {
        if (group.isBlocked(this.#version) || group.findFirst(now) === undefined) continue;
        const rank = group.urgent ? teamRank - 1e6 : teamRank;
        if (rank < bestRank) {
          best = group;
          bestRank = rank;
        }
      }
    }
    return best;
  }

  #start(record: RequestRecord, now: number): boolean {
    const { request } = record;
    const pending = record.pendingIndexes;
    const count = this.#limitCount(request, pending.length);
    if (count === 0) {
      record.setReason(this.#explainLimit(request.team));
      return false;
    }
    const { fleet, preemption } = this.#parts;
    const place = (): readonly WorkerRecord[] =>
      placements[request.kind].place(request, count, fleet);
    const workers = request.urgent ? preemption.placeUrgent(place) : place();
    const isPartialGang = request.kind === 'gang' && workers.length < pending.length;
    if (workers.length === 0 || isPartialGang) {
      record.setReason('waits for free capacity on suitable workers');
      return false;
    }
    this.#parts.queue.remove(record);
    const attempt = record.attempt + 1;
    workers.forEach((worker, position) => {
      const index = pending[position];
      if (index !== undefined) this.#placeTask(record, index, attempt, worker, now);
    });
    if (workers.length < pending.length) this.#parts.queue.add(record);
    this.#context.emit({ effect: 'changed', requestId: record.id });
    return true;
  }

  /** Number of tasks that the limit of the team admits. */
  #limitCount({ team, size, kind }: Request, wanted: number): number {
    const { ledger, recovery } = this.#parts;
    if (ledger.readAllotment(team) === undefined) return wanted;
    if (!recovery.isComplete) return 0;
    if (ledger.canCharge(team, scaleResources(size, wanted))) return wanted;
    if (kind === 'gang') return 0;
    let count = 0;
    while (count < wanted && ledger.canCharge(team, scaleResources(size, count + 1))) count += 1;
    return count;
  }

  #explainLimit(team: string): string {
    return this.#parts.recovery.isComplete
      ? `waits for the limit of team ${team} in shard ${this.#context.shard}`
      : 'waits until the new owner of the shard knows what is running';
  }

  #placeTask(
    record: RequestRecord,
    index: number,
    attempt: number,
    worker: WorkerRecord,
    now: number,
  ): void {
    const { request } = record;
    // With the epoch, because a new owner that cannot reach all workers may count attempts again.
    const taskId = `${request.id}/${index}/${this.#context.epoch}.${attempt}`;
    const assignment = { taskId, index, attempt, request };
    const task = new TaskRecord(assignment, worker.id, this.#context.dataCentre, now);
    record.addTask(task);
    worker.addTask(task);
    this.#parts.ledger.charge(request.team, request.size);
    this.#checkInvariants(request, worker);
    const needsIntent =
      !request.idempotent && (request.detached || request.idempotencyKey !== undefined);
    if (!needsIntent) {
      this.sendStart(task);
      return;
    }
    const ticket = this.#nextTicket;
    this.#nextTicket += 1;
    this.#pendingIntents.set(-ticket, task);
    const entry = {
      entry: 'intent',
      requestId: request.id,
      taskId,
      worker: worker.id,
      epoch: this.#context.epoch,
    } as const;
    this.#context.emit({ effect: 'commit', ticket: -ticket, entry });
  }

  #checkInvariants(request: Request, worker: WorkerRecord): void {
    const { invariant } = this.#context;
    invariant.check(
      coversResources(worker.room, worker.allocated),
      () =>
        `worker ${worker.id} is allocated above its room: ` +
        calculateDominantShare(worker.allocated, worker.room).toFixed(3),
    );
    const allotment = this.#parts.ledger.readAllotment(request.team);
    invariant.check(
      allotment === undefined ||
        coversResources(allotment, this.#parts.ledger.readUse(request.team)),
      () => `team ${request.team} started work above its allotment`,
    );
  }
}
