import { isStalled } from './isStalled.js';
import type { DurationEstimates } from './durations/DurationEstimates.js';
import type { Command } from './Command.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';

/** Delay before an unconfirmed stop is repeated, in milliseconds. */
const stopRetryMs = 300;

/** Decides which runs must be stopped, and repeats stops until they are confirmed. */
export class RunStopper {
  readonly #sentAt = new WeakMap<Task, number>();
  readonly #durations: DurationEstimates;

  /** @param durations - expected durations, by which the progress of runs is judged */
  public constructor(durations: DurationEstimates) {
    this.#durations = durations;
  }

  /**
   * Collects stops for runs of finished jobs, incomplete gangs and stalled tasks, and repeats unconfirmed stops.
   *
   * @param workers - workers that may run tasks
   * @param now - monotonic time in milliseconds
   * @returns stop commands
   */
  public collectStops(workers: readonly Worker[], now: number): readonly Command[] {
    const commands: Command[] = [];
    for (const worker of workers) {
      for (const task of worker.tasks) {
        const reason = findStopReason(task);
        if (reason !== undefined) task.beginStop(now, reason);
        else if (isStalled(task, worker, this.#durations)) this.#stopStalled(task, worker, now);
        if (task.phase !== 'stopping' || task.stopConfirmedAt !== undefined) continue;
        if (now - (this.#sentAt.get(task) ?? -Infinity) < stopRetryMs) continue;
        this.recordSent(task, now);
        commands.push({ kind: 'stop', task, worker, run: task.run });
      }
    }
    return commands;
  }

  /**
   * Records that a stop was sent.
   *
   * @param task - task that is being stopped
   * @param now - monotonic time in milliseconds
   */
  public recordSent(task: Task, now: number): void {
    this.#sentAt.set(task, now);
  }

  /** Stops a stalled task, which then starts again on another worker, and pauses the stalled worker. */
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
  // A gang with a waiting or stopping member cannot make progress.
  const isIncomplete = step.tasks.some(({ phase }) => phase === 'waiting' || phase === 'stopping');
  return isIncomplete ? 'gangIncomplete' : undefined;
};
