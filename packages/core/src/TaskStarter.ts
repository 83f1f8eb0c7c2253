import type { Request } from '@toucanline/schema';
import { calculateDominantShare } from './calculateDominantShare.js';
import { coversResources } from './coversResources.js';
import type { Fleet } from './Fleet.js';
import { needsIntent } from './needsIntent.js';
import { periods } from './periods.js';
import type { RequestRecord } from './RequestRecord.js';
import type { ShardContext } from './ShardContext.js';
import { TaskRecord } from './TaskRecord.js';
import type { TeamLedger } from './TeamLedger.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Starts tasks on the chosen workers: at once, or after their intent is in the journal. */
export class TaskStarter {
  readonly #context: ShardContext;
  readonly #fleet: Fleet;
  readonly #ledger: TeamLedger;
  readonly #pendingIntents = new Map<number, TaskRecord>();
  #nextTicket = 1;

  /**
   * @param context - state and services that the components of the shard share
   * @param fleet - workers of the shard
   * @param ledger - use and allotments of the teams
   */
  public constructor(context: ShardContext, fleet: Fleet, ledger: TeamLedger) {
    this.#context = context;
    this.#fleet = fleet;
    this.#ledger = ledger;
  }

  /**
   * Starts tasks of a request.
   *
   * @param record - the request
   * @param workers - one worker per task
   * @param indexes - indexes of the pending tasks; the first ones are started
   * @param now - monotonic time in milliseconds
   */
  public start(
    record: RequestRecord,
    workers: readonly WorkerRecord[],
    indexes: readonly number[],
    now: number,
  ): void {
    const attempt = record.attempt + 1;
    workers.forEach((worker, position) => {
      const index = indexes[position];
      if (index !== undefined) this.#startTask(record, index, attempt, worker, now);
    });
  }

  /**
   * Removes and returns the task whose intent was committed or failed to commit.
   *
   * @param ticket - ticket of the commit
   * @returns the task of the ticket; undefined if there is none
   */
  public takeIntent(ticket: number): TaskRecord | undefined {
    const task = this.#pendingIntents.get(ticket);
    this.#pendingIntents.delete(ticket);
    return task;
  }

  /**
   * Sends the start command of a placed task.
   *
   * @param task - the task
   * @returns false if the worker has left the fleet since the placement
   */
  public sendStart(task: TaskRecord): boolean {
    const worker = this.#fleet.find(task.worker);
    if (worker?.clock === undefined) return false;
    const now = this.#context.clock.now();
    const latestStartAt = worker.clock.calculateLowerBoundMs(now) + periods.startWindowMs;
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

  #startTask(
    record: RequestRecord,
    index: number,
    attempt: number,
    worker: WorkerRecord,
    now: number,
  ): void {
    const { request } = record;
    // The id contains the epoch, because a new owner that cannot reach all workers may use the same
    // attempt number again.
    const taskId = `${request.id}/${index}/${this.#context.epoch}.${attempt}`;
    const assignment = { taskId, index, attempt, request };
    const task = new TaskRecord(assignment, worker.id, this.#context.dataCentre, now);
    record.addTask(task);
    worker.addTask(task);
    this.#ledger.charge(request.team, request.size);
    this.#checkInvariants(request, worker);
    if (!needsIntent(request)) {
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
      coversResources(worker.totalCapacity, worker.allocated),
      () =>
        `worker ${worker.id} is allocated above its total capacity: ` +
        calculateDominantShare(worker.allocated, worker.totalCapacity).toFixed(3),
    );
    const allotment = this.#ledger.readAllotment(request.team);
    invariant.check(
      allotment === undefined || coversResources(allotment, this.#ledger.readUse(request.team)),
      () => `team ${request.team} started work above its allotment`,
    );
  }
}
