import { addResources, coversResources, subtractResources } from '@toucanline/core';
import type { Report, Request } from '@toucanline/schema';
import type { Arrival } from './Arrival.js';
import { SchedulerModel } from './SchedulerModel.js';
import type { Slot } from './Slot.js';
import type { TaskObserver } from './TaskObserver.js';

/** A task that runs. */
interface Placed {
  readonly slot: Slot;
  readonly request: Request;
  readonly endsAt: number;
}

/** A request that waits; requests of one shape fit on the same workers. */
interface Waiting {
  readonly arrival: Arrival;
  readonly shape: string;
}

/** Workers and waiting requests of one shard. */
interface BaselineShard {
  readonly slots: readonly Slot[];
  waiting: Waiting[];
  running: Placed[];
  isChanged: boolean;
}

const nameShape = ({ size, tasks }: Request): string =>
  `${size.processors}|${size.memoryMb}|${size.accelerators}|${tasks}`;

/** A simple scheduler: requests in the order of their arrival; each one starts as a whole. */
export abstract class BaselineModel extends SchedulerModel {
  readonly #shards: readonly BaselineShard[];
  readonly #observer: TaskObserver;

  /**
   * @param shards - first report of the workers of each shard
   * @param observer - follows the tasks
   */
  public constructor(shards: readonly (readonly Report[])[], observer: TaskObserver) {
    super();
    this.#observer = observer;
    this.#shards = shards.map((reports) => ({
      slots: reports.map((report) => ({ report, free: report.room })),
      waiting: [],
      running: [],
      isChanged: true,
    }));
  }

  /** Whether requests behind a blocked one may start. */
  protected abstract get passesBlocked(): boolean;

  /** {@inheritDoc SchedulerModel.submit} */
  public override submit(arrival: Arrival): void {
    const shard = this.#shards[arrival.shard];
    if (shard === undefined) return;
    shard.waiting.push({ arrival, shape: nameShape(arrival.request) });
    shard.isChanged = true;
  }

  /** {@inheritDoc SchedulerModel.step} */
  public override step(nowMs: number): void {
    this.#shards.forEach((shard, index) => {
      this.#endTasks(shard, index, nowMs);
      if (!shard.isChanged) return;
      shard.isChanged = false;
      this.#dispatch(shard, index, nowMs);
    });
  }

  /**
   * Chooses a worker.
   *
   * @param slots - workers with room for the task, in a fixed order
   * @returns one of them
   */
  protected choose(slots: readonly Slot[]): Slot | undefined {
    return slots[0];
  }

  /**
   * Checks whether a team may start a request in a shard.
   *
   * @param request - the request
   * @param shard - position of the shard
   * @returns true if it may
   */
  protected abstract mayStart(request: Request, shard: number): boolean;

  /**
   * Notes a change of what runs.
   *
   * @param request - the request
   * @param shard - position of the shard
   * @param tasks - tasks that started; negative if they ended
   */
  protected abstract noteUse(request: Request, shard: number, tasks: number): void;

  #endTasks(shard: BaselineShard, index: number, nowMs: number): void {
    const running: Placed[] = [];
    for (const task of shard.running) {
      if (task.endsAt > nowMs) {
        running.push(task);
        continue;
      }
      task.slot.free = addResources(task.slot.free, task.request.size);
      shard.isChanged = true;
      this.noteUse(task.request, index, -1);
      this.#observer.noteEnd(task.request, task.slot.report.speed);
    }
    shard.running = running;
  }

  #dispatch(shard: BaselineShard, index: number, nowMs: number): void {
    const rest: Waiting[] = [];
    const blocked = new Set<string>();
    for (const waiting of shard.waiting) {
      const { arrival, shape } = waiting;
      const mayTry = this.passesBlocked ? !blocked.has(shape) : blocked.size === 0;
      const isAllowed = mayTry && this.mayStart(arrival.request, index);
      const slots = isAllowed ? this.#place(shard, arrival.request) : [];
      if (slots.length > 0) this.#start(shard, index, arrival, slots, nowMs);
      else {
        if (isAllowed) blocked.add(shape);
        rest.push(waiting);
      }
    }
    shard.waiting = rest;
  }

  #place({ slots }: BaselineShard, { size, tasks }: Request): readonly Slot[] {
    const chosen: Slot[] = [];
    while (chosen.length < tasks) {
      const slot = this.choose(slots.filter(({ free }) => coversResources(free, size)));
      if (slot === undefined) {
        for (const taken of chosen) taken.free = addResources(taken.free, size);
        return [];
      }
      slot.free = subtractResources(slot.free, size);
      chosen.push(slot);
    }
    return chosen;
  }

  #start(
    shard: BaselineShard,
    index: number,
    { request, runMs }: Arrival,
    slots: readonly Slot[],
    nowMs: number,
  ): void {
    this.noteUse(request, index, slots.length);
    slots.forEach((slot, task) => {
      shard.running.push({ slot, request, endsAt: nowMs + runMs / slot.report.speed });
      this.#observer.noteStart(request, task, nowMs, slot.report.speed);
    });
  }
}
