import { addResources, coversResources, subtractResources, zeroResources } from '@toucanline/core';
import type { Report, Request, Resources } from '@toucanline/schema';

/** One worker of the baseline. */
interface Slot {
  readonly report: Report;
  free: Resources;
}

/** A task that the baseline started. */
interface Placed {
  readonly slot: Slot;
  readonly request: Request;
}

/**
 * The baseline: requests in the order of their arrival, each task on the first worker with room. A
 * request starts as a whole. `skips` tells whether requests behind a blocked one may start.
 */
export class FirstFitSimulation {
  readonly #slots: readonly Slot[];
  readonly #skips: boolean;
  #waiting: Request[] = [];

  /**
   * @param workers - first report of each worker
   * @param skips - whether a blocked request lets later ones pass
   */
  public constructor(workers: readonly Report[], skips: boolean) {
    this.#slots = workers.map((report) => ({ report, free: report.room }));
    this.#skips = skips;
  }

  /** Sum of the sizes of running tasks. */
  public get allocated(): Resources {
    let sum = zeroResources;
    for (const { report, free } of this.#slots) {
      sum = addResources(sum, subtractResources(report.room, free));
    }
    return sum;
  }

  /**
   * Hands a request in.
   *
   * @param request - the request
   */
  public submit(request: Request): void {
    this.#waiting.push(request);
  }

  /**
   * Starts what fits.
   *
   * @returns the started tasks
   */
  public dispatch(): readonly Placed[] {
    const started: Placed[] = [];
    const rest: Request[] = [];
    const blocked = new Set<string>();
    for (const request of this.#waiting) {
      const { size, tasks } = request;
      const shape = `${size.processors}|${size.memoryMb}|${size.accelerators}|${tasks}`;
      const mayTry = this.#skips ? !blocked.has(shape) : blocked.size === 0;
      const placed = mayTry ? this.#place(request) : undefined;
      if (placed === undefined) {
        blocked.add(shape);
        rest.push(request);
      } else started.push(...placed);
    }
    this.#waiting = rest;
    return started;
  }

  /**
   * Frees the room of a task.
   *
   * @param task - the task
   */
  public finish({ slot, request }: Placed): void {
    slot.free = addResources(slot.free, request.size);
  }

  #place(request: Request): readonly Placed[] | undefined {
    const placed: Placed[] = [];
    for (let index = 0; index < request.tasks; index += 1) {
      const slot = this.#slots.find(({ free }) => coversResources(free, request.size));
      if (slot === undefined) {
        for (const task of placed) this.finish(task);
        return undefined;
      }
      slot.free = subtractResources(slot.free, request.size);
      placed.push({ slot, request });
    }
    return placed;
  }
}
