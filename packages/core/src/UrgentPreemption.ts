import type { FairShare } from './FairShare.js';
import type { Fleet } from './Fleet.js';
import { PreemptionPlanner } from './PreemptionPlanner.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';
import { scaleResources } from './scaleResources.js';
import type { TaskStopper } from './TaskStopper.js';
import type { TeamLedger } from './TeamLedger.js';
import type { WaitingQueue } from './WaitingQueue.js';
import type { WorkerRecord } from './WorkerRecord.js';
import { addResources } from './addResources.js';
import { coversResources } from './coversResources.js';

/** Maximum number of tasks of one shard that may be stopping for urgent work at the same time. */
const maxVictims = 64;
/** Time after which a reservation ends if the preempted tasks have not stopped. */
const reservationTimeoutMs = 4000;

/** Components of the shard that urgent preemption reads and changes. */
interface PreemptionDependencies {
  readonly fleet: Fleet;
  readonly queue: WaitingQueue;
  readonly ledger: TeamLedger;
  readonly fairShare: FairShare;
  readonly stopper: TaskStopper;
}

/** A worker that is reserved for one task of an urgent request. */
interface Reservation {
  readonly worker: WorkerRecord;
  readonly record: RequestRecord;
  readonly endsAt: number;
}

/**
 * Preempts other work for urgent requests on a full shard and reserves the workers until the urgent
 * work has started.
 */
export class UrgentPreemption {
  readonly #context: ShardContext;
  readonly #dependencies: PreemptionDependencies;
  readonly #planner: PreemptionPlanner;
  #reservations: readonly Reservation[] = [];

  /**
   * @param context - state and services that the components of the shard share
   * @param dependencies - components that this class reads and changes
   */
  public constructor(context: ShardContext, dependencies: PreemptionDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
    this.#planner = new PreemptionPlanner((task) => dependencies.stopper.canStop(task));
  }

  /** Number of reserved workers. */
  public get reservationCount(): number {
    return this.#reservations.length;
  }

  /**
   * Runs a placement of urgent work, which may use the reserved workers.
   *
   * @param place - places the work
   * @returns the result of the placement
   */
  public placeUrgent<Result>(place: () => Result): Result {
    for (const { worker } of this.#reservations) worker.setReserved(false);
    const result = place();
    for (const { worker } of this.#reservations) worker.setReserved(true);
    return result;
  }

  /** Updates the reservations and preempts tasks for waiting urgent requests. */
  public tick(): void {
    const hadAny = this.#reservations.length > 0;
    const waiting = this.#listUrgent();
    if (!hadAny && waiting.length === 0) return;
    this.#updateReservations(waiting);
    const ranks = this.#rankTeams();
    for (const record of waiting) this.#preemptFor(record, ranks);
    if (hadAny) this.#dependencies.fleet.incrementVersion();
  }

  #listUrgent(): readonly RequestRecord[] {
    const records = [...this.#dependencies.queue.urgent];
    return records.sort((left, right) => left.arrivedAt - right.arrivedAt).slice(0, maxVictims);
  }

  /**
   * Reassigns reservations of started requests to waiting requests that are not larger, and drops
   * reservations that expired or whose worker cannot have enough capacity.
   */
  #updateReservations(waiting: readonly RequestRecord[]): void {
    const now = this.#context.clock.now();
    const waitingSet = new Set(waiting);
    const remaining: Reservation[] = [];
    for (const reservation of this.#reservations) {
      const { worker, endsAt } = reservation;
      const record = waitingSet.has(reservation.record)
        ? reservation.record
        : waiting.find(
            (other) =>
              this.#countReserved(other, [...this.#reservations, ...remaining]) === 0 &&
              coversResources(reservation.record.request.size, other.request.size),
          );
      const isUseful =
        record !== undefined && now < endsAt && this.#canFitAfterStops(worker, record);
      if (isUseful) remaining.push({ worker, record, endsAt });
      else worker.setReserved(false);
    }
    this.#reservations = remaining;
  }

  #canFitAfterStops(worker: WorkerRecord, { request }: RequestRecord): boolean {
    let availableAfterStops = worker.free;
    for (const task of worker.tasks) {
      if (task.state === 'stopping')
        availableAfterStops = addResources(availableAfterStops, task.charge);
    }
    return coversResources(availableAfterStops, request.size);
  }

  #countReserved(record: RequestRecord, reservations = this.#reservations): number {
    return reservations.filter((reservation) => reservation.record === record).length;
  }

  #rankTeams(): ReadonlyMap<string, number> {
    const { ledger, fairShare } = this.#dependencies;
    return new Map([...ledger.use].map(([team, use]) => [team, fairShare.rankTeam(team, use)]));
  }

  #preemptFor(record: RequestRecord, ranks: ReadonlyMap<string, number>): void {
    const { request } = record;
    const { fleet, ledger, stopper } = this.#dependencies;
    const missing = record.pendingIndexes.length - this.#countReserved(record);
    if (missing <= 0 || stopper.stoppingCount >= maxVictims) return;
    const startCount = request.kind === 'gang' ? record.pendingIndexes.length : 1;
    if (!ledger.canCharge(request.team, scaleResources(request.size, startCount))) return;
    const workers = fleet.workers.filter(
      (worker) => worker.isEligible && worker.isSuitable(request.size, request.acceleratorType),
    );
    if (workers.some((worker) => worker.canTake(request.size, request.acceleratorType))) return;
    const plans = this.#planner.plan(
      workers,
      request.size,
      missing,
      ranks,
      maxVictims - stopper.stoppingCount,
    );
    if (request.kind === 'gang' && plans.length < missing) return;
    const endsAt = this.#context.clock.now() + reservationTimeoutMs;
    for (const { worker, victims } of plans) {
      worker.setReserved(true);
      this.#reservations = [...this.#reservations, { worker, record, endsAt }];
      for (const victim of victims) {
        if (stopper.canStop(victim))
          stopper.stop(victim, `preempted for urgent request ${record.id}`);
      }
    }
  }
}
