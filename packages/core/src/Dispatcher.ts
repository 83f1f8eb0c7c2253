import type { Request, WorkKind } from '@toucanline/schema';
import { AcceleratorReserve } from './AcceleratorReserve.js';
import { BatchPlacement } from './BatchPlacement.js';
import { CandidateSource } from './CandidateSource.js';
import type { FairShare } from './FairShare.js';
import type { Fleet } from './Fleet.js';
import { GangPlacement } from './GangPlacement.js';
import { GangScheduler } from './GangScheduler.js';
import type { Placement } from './Placement.js';
import type { Recovery } from './Recovery.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import { BackfillScheduler } from './BackfillScheduler.js';
import { scaleResources } from './scaleResources.js';
import { ServicePlacement } from './ServicePlacement.js';
import type { ShardContext } from './ShardContext.js';
import type { TaskRecord } from './TaskRecord.js';
import { TaskStarter } from './TaskStarter.js';
import type { UrgentPreemption } from './UrgentPreemption.js';
import { TaskReservations } from './TaskReservations.js';
import type { TeamLedger } from './TeamLedger.js';
import type { WaitEstimator } from './WaitEstimator.js';
import type { WaitingQueue } from './WaitingQueue.js';
import type { WorkerRecord } from './WorkerRecord.js';

const placements: Readonly<Record<WorkKind, Placement>> = {
  service: new ServicePlacement(),
  batch: new BatchPlacement(),
  gang: new GangPlacement(),
};

/**
 * Maximum age of team ranks. Use in other shards and the decay of past use change the ranks of
 * teams that start nothing in this shard.
 */
const maxRankAgeMs = 100;

/** Components of the shard that the dispatcher reads and changes. */
interface DispatcherDependencies {
  readonly fleet: Fleet;
  readonly queue: WaitingQueue;
  readonly ledger: TeamLedger;
  readonly fairShare: FairShare;
  readonly recovery: Recovery;
  readonly preemption: UrgentPreemption;
  readonly estimator: WaitEstimator;
}

/** Decides which waiting request starts next, and on which workers. */
export class Dispatcher {
  readonly #context: ShardContext;
  readonly #dependencies: DispatcherDependencies;
  readonly #starter: TaskStarter;
  #fleetVersion = -1;
  #rankedAt = -Infinity;
  readonly #gangScheduler: GangScheduler;
  readonly #taskReservations: TaskReservations;
  readonly #backfillScheduler: BackfillScheduler;
  readonly #acceleratorReserve: AcceleratorReserve;

  /**
   * @param context - state and services that the components of the shard share
   * @param dependencies - components that the dispatcher reads and changes
   */
  public constructor(context: ShardContext, dependencies: DispatcherDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
    this.#starter = new TaskStarter(context, dependencies.fleet, dependencies.ledger);
    this.#gangScheduler = new GangScheduler(dependencies);
    this.#taskReservations = new TaskReservations(
      dependencies.fleet,
      dependencies.queue.order.search,
    );
    this.#backfillScheduler = new BackfillScheduler(dependencies.queue.order.search);
    this.#acceleratorReserve = new AcceleratorReserve(
      dependencies.fleet,
      dependencies.queue.order.search,
    );
  }

  /**
   * Starts waiting requests.
   *
   * @param maxStarts - maximum number of requests to start in one call, so that the event loop
   * stays responsive
   * @returns true if the maximum was reached and more requests may be able to start
   */
  public run(maxStarts: number): boolean {
    const now = this.#context.clock.now();
    this.#dependencies.queue.releaseDue(now);
    // Workers reserved for urgent work are not in the index, so their changes are not reported.
    if (this.#dependencies.preemption.reservationCount > 0)
      this.#dependencies.queue.order.unblockUrgent();
    this.#acceleratorReserve.update(now, this.#gangScheduler.reservation.record);
    this.#gangScheduler.startReady(now, (record, requestClass) =>
      this.#start(record, requestClass, now),
    );
    this.#startReservedTasks(now);
    for (let starts = 0; starts < maxStarts;) {
      const requestClass = this.#chooseNextClass(now);
      const record = requestClass?.first;
      if (requestClass === undefined || record === undefined) {
        this.#gangScheduler.plan(now);
        this.#planTaskReservations(now);
        this.#backfillReservations(now);
        return false;
      }
      if (this.#start(record, requestClass, now)) starts += 1;
    }
    return true;
  }

  /**
   * Removes and returns the task whose intent was committed or failed to commit.
   *
   * @param ticket - ticket of the commit
   * @returns the task of the ticket; undefined if there is none
   */
  public takeIntent(ticket: number): TaskRecord | undefined {
    return this.#starter.takeIntent(ticket);
  }

  /**
   * Sends the start command of a placed task.
   *
   * @param task - the task
   * @returns false if the worker has left the fleet since the placement
   */
  public sendStart(task: TaskRecord): boolean {
    return this.#starter.sendStart(task);
  }

  /**
   * Updates the dispatch order and chooses the next class: urgent work first, then the team that is
   * furthest below its share.
   */
  #chooseNextClass(now: number): RequestClass | undefined {
    const { fleet, queue, ledger, fairShare } = this.#dependencies;
    const { order } = queue;
    for (const team of ledger.takeChangedTeams()) {
      order.invalidateTeam(team);
      order.unblockTeam(team);
    }
    for (const [worker, before] of fleet.index.takeChangedWorkers()) {
      order.updateWorker(worker, before, fleet.index.readFreeCapacity(worker));
    }
    if (this.#fleetVersion !== fleet.version) {
      this.#fleetVersion = fleet.version;
      order.unblockAll();
      order.invalidateAllTeams();
    }
    if (now - this.#rankedAt > maxRankAgeMs) {
      this.#rankedAt = now;
      order.invalidateAllTeams();
    }
    order.rankTeams((team) => fairShare.rankTeam(team, ledger.readUse(team)));
    return order.findNext();
  }

  /** Starts the tasks whose reserved capacity has become free. */
  #startReservedTasks(now: number): void {
    const { queue } = this.#dependencies;
    this.#taskReservations.startReady(
      (record) => queue.findClass(record) !== undefined,
      (record, reservation) => {
        const { workers } = reservation;
        reservation.release();
        const requestClass = queue.findClass(record);
        if (requestClass !== undefined) this.#start(record, requestClass, now, workers);
      },
    );
  }

  #planTaskReservations(now: number): void {
    const { ledger, recovery } = this.#dependencies;
    if (!recovery.isComplete) return;
    this.#taskReservations.plan(now, ({ team, size }) => ledger.canCharge(team, size));
  }

  #backfillReservations(now: number): void {
    const reservations = [this.#gangScheduler.reservation, ...this.#taskReservations.reservations];
    this.#backfillScheduler.run(now, reservations, (record, requestClass, worker) =>
      this.#start(record, requestClass, now, [worker]),
    );
  }

  /**
   * Starts a request on the granted workers, whose capacity was reserved or is used for backfill,
   * or else on workers with free capacity.
   */
  #start(
    record: RequestRecord,
    requestClass: RequestClass,
    now: number,
    granted?: readonly WorkerRecord[],
  ): boolean {
    const { request } = record;
    const pending = record.pendingIndexes;
    const count = this.#countAdmitted(request, pending.length);
    if (count === 0) {
      record.setReason(this.#explainLimit(request.team));
      this.#dependencies.queue.order.blockClass(requestClass);
      return false;
    }
    const { queue } = this.#dependencies;
    const workers = granted ?? this.#findWorkers(record, requestClass, count);
    if (workers.length === 0 || (requestClass.isGang && workers.length < count)) {
      record.setReason('waits for free capacity on suitable workers');
      queue.order.blockShape(requestClass, workers.length);
      return false;
    }
    this.#dependencies.queue.remove(record);
    this.#dependencies.estimator.recordStart(request.team, now);
    this.#starter.start(record, workers, pending, now);
    if (workers.length < pending.length) this.#dependencies.queue.add(record);
    this.#context.emit({ effect: 'changed', requestId: record.id });
    return true;
  }

  #findWorkers(
    record: RequestRecord,
    requestClass: RequestClass,
    count: number,
  ): readonly WorkerRecord[] {
    const { fleet, preemption, queue } = this.#dependencies;
    const { request, avoidedWorkers } = record;
    const occupiedWorkers = this.#listOccupied(record);
    const candidates = queue.order.findCandidates(requestClass);
    const source = candidates === undefined ? fleet.index : new CandidateSource(candidates);
    const place = (): readonly WorkerRecord[] =>
      placements[request.kind].place(request, count, source, occupiedWorkers, avoidedWorkers);
    return request.urgent ? preemption.placeUrgent(place) : place();
  }

  #listOccupied(record: RequestRecord): readonly WorkerRecord[] {
    return record.activeTasks
      .map(({ worker }) => this.#dependencies.fleet.find(worker))
      .filter((worker) => worker !== undefined);
  }

  /** Counts how many of the wanted tasks the limit of the team admits. */
  #countAdmitted({ team, size, kind }: Request, wanted: number): number {
    const { ledger, recovery } = this.#dependencies;
    if (ledger.readAllotment(team) === undefined) return wanted;
    if (!recovery.isComplete) return 0;
    if (ledger.canCharge(team, scaleResources(size, wanted))) return wanted;
    if (kind === 'gang') return 0;
    let count = 0;
    while (count < wanted && ledger.canCharge(team, scaleResources(size, count + 1))) count += 1;
    return count;
  }

  #explainLimit(team: string): string {
    return this.#dependencies.recovery.isComplete
      ? `waits for the limit of team ${team} in shard ${this.#context.shard}`
      : 'waits until the new owner of the shard knows what is running';
  }
}
