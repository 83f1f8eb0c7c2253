import { isStalled } from './isStalled.js';
import type { DurationEstimates } from './durations/DurationEstimates.js';
import type { Command } from './Command.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';

/** Decides which runs must be stopped, and repeats stops until they are confirmed. */
export class RunStopper {
  /** Last stop of each task: the incarnation that it was sent to, and the monotonic time in milliseconds. */
  readonly #sent = new WeakMap<Task, { readonly worker: Worker; readonly at: number }>();
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
        const sent = this.#sent.get(task);
        if (sent?.worker === worker && now - sent.at < schedulingLimits.stopRetryMs) continue;
        this.recordSent(task, worker, now);
        commands.push({ kind: 'stop', task, worker, run: task.run });
      }
    }
    return commands;
  }

  /**
   * Records that a stop was sent.
   *
   * @param task - task that is being stopped
   * @param worker - incarnation to which the stop was sent
   * @param now - monotonic time in milliseconds
   */
  public recordSent(task: Task, worker: Worker, now: number): void {
    this.#sent.set(task, { worker, at: now });
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
