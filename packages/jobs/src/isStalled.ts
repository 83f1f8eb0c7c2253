import { schedulingLimits } from './schedulingLimits.js';
import type { DurationEstimates } from './durations/DurationEstimates.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';

/**
 * Checks whether a task makes no progress although its worker responds. Only tasks with steady progress are checked:
 * not gangs, which wait for their members, nor long-running and opportunistic tasks.
 *
 * @param task - task to check
 * @param worker - worker of the task
 * @param durations - expected durations
 * @returns whether the reports have shown no progress for longer than the limit
 */
export const isStalled = (task: Task, worker: Worker, durations: DurationEstimates): boolean => {
  const { isGang, isLongRunning, isOpportunistic } = task.step.description;
  if (task.phase !== 'running' || task.percent >= 100) return false;
  if (isGang === true || isLongRunning === true || isOpportunistic === true) return false;
  const { stallTimeoutMs, stallDurationShare } = schedulingLimits;
  if (task.stalledMs <= stallTimeoutMs) return false;
  const limitMs = Math.max(
    stallTimeoutMs,
    durations.estimateStallBaseMs(task.step) * worker.speed.durationFactor * stallDurationShare,
  );
  return task.stalledMs > limitMs;
};
