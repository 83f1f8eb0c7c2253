import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { coversResources } from './coversResources.js';
import type { TaskRecord } from './TaskRecord.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Tasks to preempt on one worker. */
interface Preemption {
  readonly worker: WorkerRecord;
  readonly victims: readonly TaskRecord[];
  /** Rank of the victim whose team exceeds its share least. */
  readonly rank: number;
}

const compareNumbers = (left: number, right: number): number => left - right;

const readNewestPlacement = (victims: readonly TaskRecord[]): number =>
  Math.max(0, ...victims.map(({ placedAt }) => placedAt));

/** Chooses the tasks to preempt: the newest ones of the team that exceeds its share most. */
export class PreemptionPlanner {
  readonly #canStop: (task: TaskRecord) => boolean;

  /** @param canStop - checks whether a task may be preempted */
  public constructor(canStop: (task: TaskRecord) => boolean) {
    this.#canStop = canStop;
  }

  /**
   * Plans the preemption for tasks of one size, one task per worker.
   *
   * @param workers - workers that may be used for the tasks
   * @param size - size of each task
   * @param count - number of tasks
   * @param ranks - rank of each team; the team with the highest rank exceeds its share most
   * @param maxVictims - maximum number of victims of all plans together
   * @returns the plans, best first; fewer than requested if no more tasks can be preempted
   */
  public plan(
    workers: readonly WorkerRecord[],
    size: Resources,
    count: number,
    ranks: ReadonlyMap<string, number>,
    maxVictims: number,
  ): readonly Preemption[] {
    const plans = workers.flatMap((worker) => this.#planWorker(worker, size, ranks) ?? []);
    plans.sort(
      (left, right) =>
        compareNumbers(right.rank, left.rank) ||
        compareNumbers(left.victims.length, right.victims.length) ||
        compareNumbers(readNewestPlacement(right.victims), readNewestPlacement(left.victims)),
    );
    const chosen: Preemption[] = [];
    let victims = 0;
    for (const plan of plans) {
      if (chosen.length === count || victims + plan.victims.length > maxVictims) break;
      chosen.push(plan);
      victims += plan.victims.length;
    }
    return chosen;
  }

  #planWorker(
    worker: WorkerRecord,
    size: Resources,
    ranks: ReadonlyMap<string, number>,
  ): Preemption | undefined {
    const readRank = ({ assignment }: TaskRecord): number =>
      ranks.get(assignment.request.team) ?? 0;
    const candidates = worker.tasks
      .filter((task) => !task.assignment.request.urgent && this.#canStop(task))
      .sort(
        (left, right) =>
          compareNumbers(readRank(right), readRank(left)) ||
          compareNumbers(right.placedAt, left.placedAt),
      );
    let available = worker.free;
    for (const task of worker.tasks)
      if (task.state === 'stopping') available = addResources(available, task.charge);
    const victims: TaskRecord[] = [];
    for (const task of candidates) {
      if (coversResources(available, size)) break;
      victims.push(task);
      available = addResources(available, task.charge);
    }
    if (!coversResources(available, size)) return undefined;
    const needed = this.#dropUnneeded(victims, available, size);
    return { worker, victims: needed, rank: Math.min(Infinity, ...needed.map(readRank)) };
  }

  /** Removes the victims whose capacity is not needed. */
  #dropUnneeded(
    victims: readonly TaskRecord[],
    available: Resources,
    size: Resources,
  ): readonly TaskRecord[] {
    let remaining = available;
    return [...victims].reverse().filter(({ charge }) => {
      const without = {
        processors: remaining.processors - charge.processors,
        memoryMb: remaining.memoryMb - charge.memoryMb,
        accelerators: remaining.accelerators - charge.accelerators,
      };
      if (!coversResources(without, size)) return true;
      remaining = without;
      return false;
    });
  }
}
