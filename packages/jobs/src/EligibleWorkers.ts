import type { Room } from '@toucanline/schema';
import type { PendingStep } from './PendingStep.js';
import type { Evacuations } from './placement/Evacuations.js';
import { resources } from './resources.js';
import type { Worker } from './Worker.js';

/** Workers of one service and label that accept tasks, as a list and as a set. */
interface EligibleGroup {
  readonly workers: readonly Worker[];
  readonly members: ReadonlySet<Worker>;
  /** Largest free capacity in each dimension: a task that exceeds it fits on no worker of the group. */
  readonly maxFree: Room;
  /** Matching workers outside the evacuated data centres, also ones that accept no tasks now; empty without evacuation. */
  readonly staying: readonly Worker[];
  /** Matching workers in evacuated data centres, none of which accepts tasks. */
  readonly evacuated: readonly Worker[];
}

/** Workers that accept tasks during one planning pass, grouped once for all steps with the same requirements. */
export class EligibleWorkers {
  readonly #all: readonly Worker[];
  readonly #accepting: readonly Worker[];
  readonly #staying: readonly Worker[];
  readonly #evacuated: readonly Worker[];
  readonly #groups = new Map<string, EligibleGroup>();
  /** Share of the processors in use, by service; undefined until it is needed. */
  #useByService: ReadonlyMap<string, number> | undefined;

  /**
   * @param all - all known workers
   * @param now - monotonic time of the pass, in milliseconds
   * @param evacuations - data centres whose workers accept no tasks; undefined if none can be evacuated
   */
  public constructor(all: readonly Worker[], now: number, evacuations?: Evacuations) {
    this.#all = all;
    const accepting = all.filter((worker) => worker.canAcceptTasks(now));
    if (evacuations === undefined || evacuations.dataCentres.size === 0) {
      this.#accepting = accepting;
      this.#staying = [];
      this.#evacuated = [];
      return;
    }
    const lasting = all.filter(({ isListed, entry }) => isListed && !entry.isDraining);
    this.#accepting = accepting.filter((worker) => !evacuations.covers(worker));
    this.#staying = lasting.filter((worker) => !evacuations.covers(worker));
    this.#evacuated = lasting.filter((worker) => evacuations.covers(worker));
  }

  /**
   * Finds the workers on which a step may run, by service and label.
   *
   * @param pending - step and its queue
   * @returns workers that match and accept tasks
   */
  public find({ step, queue }: Pick<PendingStep, 'step' | 'queue'>): EligibleGroup {
    const { requiredLabel } = step.description;
    const key = JSON.stringify([queue.service, requiredLabel]);
    const known = this.#groups.get(key);
    if (known !== undefined) return known;
    const isMatching = ({ entry }: Worker): boolean =>
      entry.service === queue.service &&
      (requiredLabel === undefined || entry.labels.includes(requiredLabel));
    const workers = this.#accepting.filter(isMatching);
    const maxFree = workers.reduce<Room>(
      (max, { free }) => ({
        milliProcessors: Math.max(max.milliProcessors, free.milliProcessors),
        memoryMb: Math.max(max.memoryMb, free.memoryMb),
        accelerators: Math.max(max.accelerators, free.accelerators),
      }),
      resources.none,
    );
    const group = {
      workers,
      members: new Set(workers),
      maxFree,
      staying: this.#staying.filter(isMatching),
      evacuated: this.#evacuated.filter(isMatching),
    };
    this.#groups.set(key, group);
    return group;
  }

  /**
   * Measures how much of a service is in use, also on workers that accept no tasks now.
   *
   * @param service - name of the service
   * @returns share of the processors of its workers that tasks use; 1 without workers
   */
  public measureUse(service: string): number {
    this.#useByService ??= this.#measureAll();
    return this.#useByService.get(service) ?? 1;
  }

  #measureAll(): ReadonlyMap<string, number> {
    const sums = new Map<string, { free: number; total: number }>();
    for (const { entry, free } of this.#all) {
      const sum = sums.get(entry.service) ?? { free: 0, total: 0 };
      sum.free += Math.max(0, free.milliProcessors);
      sum.total += entry.capacity.milliProcessors;
      sums.set(entry.service, sum);
    }
    return new Map([...sums].map(([service, { free, total }]) => [service, 1 - free / total]));
  }
}
