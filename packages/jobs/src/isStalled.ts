import { schedulingLimits } from './schedulingLimits.js';
import type { Task } from './Task.js';
import type { Worker } from './Worker.js';

/**
 * Tells whether a task stands still although its worker answers. Only tasks are judged whose progress moves all the
 * time: not gangs, which wait for their members, nor lasting and opportunistic tasks.
 *
 * @param task - a running task
 * @param worker - its worker
 * @returns whether reports showed no progress for long enough
 */
export const isStalled = (task: Task, worker: Worker): boolean => {
  const { isGang, isLongRunning, isOpportunistic, estimateMs } = task.step.description;
  if (task.phase !== 'running' || task.percent >= 100) return false;
  if (isGang === true || isLongRunning === true || isOpportunistic === true) return false;
  const { stallTimeoutMs: stallMs, stallDurationShare: stallShare } = schedulingLimits;
  const limitMs = Math.max(stallMs, estimateMs * worker.speed.durationFactor * stallShare);
  return task.stalledMs > limitMs;
};
