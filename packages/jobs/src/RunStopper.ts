import { isStalled } from './isStalled.js';
import type { Command } from './Command.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';

/** Delay before a stop without an answer is repeated, in milliseconds. */
const stopRetryMs = 300;

/** Decides which runs are to be stopped, and repeats stops until they are confirmed. */
export class RunStopper {
  readonly #sentAt = new WeakMap<Task, number>();

  /**
   * Collects stops: of what finished jobs still run, of incomplete gangs, of tasks that stand still, and of those
   * whose stop had no answer.
   *
   * @param workers - workers that may run something
   * @param now - monotonic time
   * @returns the orders
   */
  public collectStops(workers: readonly Worker[], now: number): readonly Command[] {
    const orders: Command[] = [];
    for (const worker of workers) {
      for (const task of worker.tasks) {
        const reason = findStopReason(task);
        if (reason !== undefined) task.beginStop(now, reason);
        else if (isStalled(task, worker)) this.#stopStalled(task, worker, now);
        if (task.phase !== 'stopping' || task.stopConfirmedAt !== undefined) continue;
        if (now - (this.#sentAt.get(task) ?? -Infinity) < stopRetryMs) continue;
        this.recordSent(task, now);
        orders.push({ kind: 'stop', task, worker, run: task.run });
      }
    }
    return orders;
  }

  /**
   * Notes that a stop was ordered.
   *
   * @param task - the task
   * @param now - monotonic time
   */
  public recordSent(task: Task, now: number): void {
    this.#sentAt.set(task, now);
  }

  /** What stands still is stopped and starts again elsewhere; the worker gets nothing new for a while. */
  #stopStalled(task: Task, worker: Worker, now: number): void {
    worker.pauseUntil(now + schedulingLimits.stallPauseMs);
    task.beginStop(now, 'stalled');
  }
}

const findStopReason = (task: Task): 'jobEnded' | 'gangIncomplete' | undefined => {
  if (task.phase !== 'running' && task.phase !== 'starting') return undefined;
  const { step } = task;
  if (step.job.isFinished) return 'jobEnded';
  if (step.description.isGang !== true || task.phase === 'starting') return undefined;
  // A gang with a member that is waiting or being stopped cannot make progress.
  const isIncomplete = step.tasks.some(({ phase }) => phase === 'waiting' || phase === 'stopping');
  return isIncomplete ? 'gangIncomplete' : undefined;
};
