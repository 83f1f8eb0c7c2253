import type { Command } from './Command.js';
import type { PermitCache } from './PermitCache.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StartOutcome } from './StartOutcome.js';

/** Handles the outcomes of start commands. */
export class StartOutcomeHandler {
  readonly #permits: PermitCache;

  /** @param permits - placement permits; those that a worker refuses expire */
  public constructor(permits: PermitCache) {
    this.#permits = permits;
  }

  /**
   * Handles an outcome. A task that certainly did not start waits again; after an unknown outcome its run is stopped
   * first.
   *
   * @param command - start command that was sent
   * @param outcome - outcome of the call
   * @param now - monotonic time in milliseconds
   */
  public handleOutcome(
    { task, worker, run }: Extract<Command, { kind: 'start' }>,
    outcome: StartOutcome,
    now: number,
  ): void {
    if (task.worker !== worker || task.run !== run || task.phase !== 'starting') return;
    switch (outcome) {
      case 'started':
        task.confirmStart(now);
        task.step.job.markStarted();
        worker.recordAcceptedStart();
        return;
      case 'unknown':
        worker.recordCallFailure(now, task.phaseStartedAt);
        task.beginStop(now, 'unanswered');
        return;
      case 'permit':
        this.#permits.expirePermit(task.step.key, worker);
        break;
      case 'refused':
        worker.recordCallFailure(now, now);
        break;
      case 'room':
      case 'unhealthy':
      case 'late':
        worker.recordRefusedStart(now);
        break;
      case 'invalid':
        task.step.delayRetryUntil(now + schedulingLimits.invalidStartDelayMs);
        break;
      default:
        break;
    }
    task.release('', now);
  }
}
