import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { coversResources } from './coversResources.js';
import type { TaskRecord } from './TaskRecord.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Tasks to take off one worker. */
interface Preemption {
  readonly worker: WorkerRecord;
  readonly victims: readonly TaskRecord[];
  /** Rank of the victim whose team is least over its share. */
  readonly rank: number;
}

const compareNumbers = (left: number, right: number): number => left - right;

const readNewestPlacement = (victims: readonly TaskRecord[]): number =>
  Math.max(0, ...victims.map(({ placedAt }) => placedAt));

/** Chooses which tasks make room: the newest ones of the team that is most over its share. */
export class PreemptionPlanner {
  readonly #canStop: (task: TaskRecord) => boolean;

  /** @param canStop - whether a task may be taken off its worker */
  public constructor(canStop: (task: TaskRecord) => boolean) {
    this.#canStop = canStop;
  }

  /**
   * Plans room for tasks of one size, one per worker.
   *
   * @param workers - workers that may be used
   * @param size - size of each task
   * @param count - number of tasks
   * @param ranks - weighted share per team; the highest one is most over its share
   * @param maxVictims - bound on the victims of all plans together
   * @returns the plans, best first; fewer than wanted if there is no more room to make
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
    let room = worker.free;
    for (const task of worker.tasks)
      if (task.state === 'stopping') room = addResources(room, task.charge);
    const victims: TaskRecord[] = [];
    for (const task of candidates) {
      if (coversResources(room, size)) break;
      victims.push(task);
      room = addResources(room, task.charge);
    }
    if (!coversResources(room, size)) return undefined;
    const needed = this.#dropUnneeded(victims, room, size);
    return { worker, victims: needed, rank: Math.min(Infinity, ...needed.map(readRank)) };
  }

  /** Leaves out victims without which the room is still enough. */
  #dropUnneeded(
    victims: readonly TaskRecord[],
    room: Resources,
    size: Resources,
  ): readonly TaskRecord[] {
    let left = room;
    return [...victims].reverse().filter(({ charge }) => {
      const without = {
        processors: left.processors - charge.processors,
        memoryMb: left.memoryMb - charge.memoryMb,
        accelerators: left.accelerators - charge.accelerators,
      };
      if (!coversResources(without, size)) return true;
      left = without;
      return false;
    });
  }
}
