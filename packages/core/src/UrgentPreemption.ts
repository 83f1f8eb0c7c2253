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

/** Tasks of one shard that may be stopping for urgent work at the same time. */
const maxVictims = 64;
/** Time after which a reservation ends, because the tasks did not stop. */
const reservationTimeoutMs = 4000;

/** Parts of the shard that preemption reads and changes. */
interface PreemptionDependencies {
  readonly fleet: Fleet;
  readonly queue: WaitingQueue;
  readonly ledger: TeamLedger;
  readonly fairShare: FairShare;
  readonly stopper: TaskStopper;
}

/** A worker that is kept free for one task of an urgent request. */
interface Reservation {
  readonly worker: WorkerRecord;
  readonly record: RequestRecord;
  readonly endsAt: number;
}

/** Makes room for urgent work on a full shard and keeps that room until the work has started. */
export class UrgentPreemption {
  readonly #context: ShardContext;
  readonly #dependencies: PreemptionDependencies;
  readonly #planner: PreemptionPlanner;
  #reservations: readonly Reservation[] = [];

  /**
   * @param context - what the parts of the shard share
   * @param parts - the parts to read and change
   */
  public constructor(context: ShardContext, parts: PreemptionDependencies) {
    this.#context = context;
    this.#dependencies = parts;
    this.#planner = new PreemptionPlanner((task) => parts.stopper.canStop(task));
  }

  /** Number of reserved workers. */
  public get reservationCount(): number {
    return this.#reservations.length;
  }

  /**
   * Runs a placement of urgent work, which may use reserved workers.
   *
   * @param place - the placement
   * @returns its result
   */
  public placeUrgent<Result>(place: () => Result): Result {
    for (const { worker } of this.#reservations) worker.setReserved(false);
    const result = place();
    for (const { worker } of this.#reservations) worker.setReserved(true);
    return result;
  }

  /** Releases reservations that are of no use any more, and preempts for urgent work that waits. */
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

  /** Passes reservations of started requests on to others of the same size, and drops the rest. */
  #updateReservations(waiting: readonly RequestRecord[]): void {
    const now = this.#context.clock.now();
    const wanting = new Set(waiting);
    const kept: Reservation[] = [];
    for (const reservation of this.#reservations) {
      const { worker, endsAt } = reservation;
      const record = wanting.has(reservation.record)
        ? reservation.record
        : waiting.find(
            (other) =>
              this.#countReserved(other, [...this.#reservations, ...kept]) === 0 &&
              coversResources(reservation.record.request.size, other.request.size),
          );
      const isUseful =
        record !== undefined && now < endsAt && this.#canFitAfterStops(worker, record);
      if (isUseful) kept.push({ worker, record, endsAt });
      else worker.setReserved(false);
    }
    this.#reservations = kept;
  }

  #canFitAfterStops(worker: WorkerRecord, { request }: RequestRecord): boolean {
    let coming = worker.free;
    for (const task of worker.tasks) {
      if (task.state === 'stopping') coming = addResources(coming, task.charge);
    }
    return coversResources(coming, request.size);
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
    const atOnce = request.kind === 'gang' ? record.pendingIndexes.length : 1;
    if (!ledger.canCharge(request.team, scaleResources(request.size, atOnce))) return;
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
