import { addResources, coversResources, subtractResources } from '@toucanline/core';
import type { Report, Request } from '@toucanline/schema';
import type { Arrival } from './Arrival.js';
import { SchedulerModel } from './SchedulerModel.js';
import type { BaselineWorker } from './BaselineWorker.js';
import type { TaskObserver } from './TaskObserver.js';

/** A task that is running on a worker. */
interface RunningTask {
  readonly worker: BaselineWorker;
  readonly request: Request;
  readonly endsAt: number;
}

/** A waiting request; requests with the same shape key fit on the same workers. */
interface WaitingRequest {
  readonly arrival: Arrival;
  readonly shape: string;
}

/** Workers, waiting requests and running tasks of one shard. */
interface BaselineShard {
  readonly workers: readonly BaselineWorker[];
  waiting: WaitingRequest[];
  running: RunningTask[];
  needsDispatch: boolean;
}

const createShapeKey = ({ size, tasks }: Request): string =>
  `${size.processors}|${size.memoryMb}|${size.accelerators}|${tasks}`;

/** Baseline scheduler: considers requests in arrival order and starts all tasks of a request at once. */
export abstract class BaselineModel extends SchedulerModel {
  readonly #shards: readonly BaselineShard[];
  readonly #observer: TaskObserver;

  /**
   * @param shards - initial reports of the workers of each shard
   * @param observer - notified when tasks start and end
   */
  public constructor(shards: readonly (readonly Report[])[], observer: TaskObserver) {
    super();
    this.#observer = observer;
    this.#shards = shards.map((reports) => ({
      workers: reports.map((report) => ({ report, free: report.room })),
      waiting: [],
      running: [],
      needsDispatch: true,
    }));
  }

  /** Whether requests may start before an earlier one that does not fit. */
  protected abstract get allowsBackfilling(): boolean;

  /** {@inheritDoc SchedulerModel.submit} */
  public override submit(arrival: Arrival): void {
    const shard = this.#shards[arrival.shard];
    if (shard === undefined) return;
    shard.waiting.push({ arrival, shape: createShapeKey(arrival.request) });
    shard.needsDispatch = true;
  }

  /** {@inheritDoc SchedulerModel.step} */
  public override step(nowMs: number): void {
    this.#shards.forEach((shard, index) => {
      this.#completeTasks(shard, index, nowMs);
      if (!shard.needsDispatch) return;
      shard.needsDispatch = false;
      this.#dispatch(shard, index, nowMs);
    });
  }

  /**
   * Chooses a worker for a task; by default the first that fits.
   *
   * @param workers - workers with enough free capacity for the task, in a fixed order
   * @returns the chosen worker, or undefined if there is none
   */
  protected chooseWorker(workers: readonly BaselineWorker[]): BaselineWorker | undefined {
    return workers[0];
  }

  /**
   * Checks whether the limits of the team allow a request to start in a shard.
   *
   * @param request - the request
   * @param shard - position of the shard
   * @returns true if the request may start
   */
  protected abstract mayStart(request: Request, shard: number): boolean;

  /**
   * Records that tasks of a request started or ended.
   *
   * @param request - the request
   * @param shard - position of the shard
   * @param tasks - number of tasks that started; negative if they ended
   */
  protected abstract recordUse(request: Request, shard: number, tasks: number): void;

  #completeTasks(shard: BaselineShard, index: number, nowMs: number): void {
    const running: RunningTask[] = [];
    for (const task of shard.running) {
      if (task.endsAt > nowMs) {
        running.push(task);
        continue;
      }
      task.worker.free = addResources(task.worker.free, task.request.size);
      shard.needsDispatch = true;
      this.recordUse(task.request, index, -1);
      this.#observer.recordEnd(task.request, task.worker.report.speed);
    }
    shard.running = running;
  }

  #dispatch(shard: BaselineShard, index: number, nowMs: number): void {
    const rest: WaitingRequest[] = [];
    const blocked = new Set<string>();
    for (const waiting of shard.waiting) {
      const { arrival, shape } = waiting;
      const mayTry = this.allowsBackfilling ? !blocked.has(shape) : blocked.size === 0;
      const isAllowed = mayTry && this.mayStart(arrival.request, index);
      const allocated = isAllowed ? this.#allocateWorkers(shard, arrival.request) : [];
      if (allocated.length > 0) this.#start(shard, index, arrival, allocated, nowMs);
      else {
        if (isAllowed) blocked.add(shape);
        rest.push(waiting);
      }
    }
    shard.waiting = rest;
  }

  #allocateWorkers(
    { workers }: BaselineShard,
    { size, tasks }: Request,
  ): readonly BaselineWorker[] {
    const chosen: BaselineWorker[] = [];
    while (chosen.length < tasks) {
      const worker = this.chooseWorker(workers.filter(({ free }) => coversResources(free, size)));
      if (worker === undefined) {
        for (const released of chosen) released.free = addResources(released.free, size);
        return [];
      }
      worker.free = subtractResources(worker.free, size);
      chosen.push(worker);
    }
    return chosen;
  }

  #start(
    shard: BaselineShard,
    index: number,
    { request, runMs }: Arrival,
    allocated: readonly BaselineWorker[],
    nowMs: number,
  ): void {
    this.recordUse(request, index, allocated.length);
    allocated.forEach((worker, task) => {
      shard.running.push({ worker, request, endsAt: nowMs + runMs / worker.report.speed });
      this.#observer.recordStart(request, task, nowMs, worker.report.speed);
    });
  }
}
