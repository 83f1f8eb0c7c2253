import type { TurnTask } from './TurnTask.js';

/**
 * Time for tasks in one turn of the event loop, in milliseconds. The last slice may exceed it. Timers, responses and
 * newly received bytes wait no longer than this for the tasks.
 */
const maxTurnMs = 4;

/**
 * Shares the time of the event loop between tasks, and leaves time for all other work: once the time of a turn is used
 * up, the rest runs in the next turn. Tasks that were added and tasks that go on get slices alternately, each in the
 * order of their arrival. So a task of one slice waits for at most two slices of each other task.
 */
export class TurnQueue {
  readonly #now: () => number;
  readonly #defer: (run: () => void) => void;
  readonly #added = new Set<TurnTask>();
  readonly #continued = new Set<TurnTask>();
  #isContinuedNext = false;
  #isRunning = false;
  /** End of the time for tasks in this turn of the event loop; undefined if no task ran in it. */
  #turnEndsAt: number | undefined;

  /**
   * @param now - reads the monotonic clock, in milliseconds
   * @param defer - runs a function in the next turn of the event loop
   */
  public constructor(
    now: () => number = () => performance.now(),
    defer: (run: () => void) => void = (run) => void setImmediate(run),
  ) {
    this.#now = now;
    this.#defer = defer;
  }

  /**
   * Adds a task. It runs at once if no others wait and time is left in this turn. A task that was added already keeps
   * its place.
   *
   * @param task - the task
   */
  public add(task: TurnTask): void {
    if (!this.#continued.has(task)) this.#added.add(task);
    this.#run();
  }

  /**
   * Removes a task.
   *
   * @param task - the task
   */
  public remove(task: TurnTask): void {
    this.#added.delete(task);
    this.#continued.delete(task);
  }

  #run(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    try {
      const endsAt = (this.#turnEndsAt ??= this.#startTurn());
      while (this.#now() < endsAt) {
        const task = this.#takeNext();
        if (task === undefined) return;
        if (task.runSlice() && !this.#added.has(task)) this.#continued.add(task);
      }
    } finally {
      this.#isRunning = false;
    }
  }

  #startTurn(): number {
    this.#defer(() => {
      this.#turnEndsAt = undefined;
      if (this.#added.size + this.#continued.size > 0) this.#run();
    });
    return this.#now() + maxTurnMs;
  }

  #takeNext(): TurnTask | undefined {
    this.#isContinuedNext = !this.#isContinuedNext;
    const [preferred, other] = this.#isContinuedNext
      ? [this.#continued, this.#added]
      : [this.#added, this.#continued];
    const [task] = preferred.size > 0 ? preferred : other;
    if (task !== undefined) this.remove(task);
    return task;
  }
}
