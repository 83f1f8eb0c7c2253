import type { Command } from './Command.js';
import type { LateStarts } from './membership/LateStarts.js';
import type { PermitCache } from './PermitCache.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StartOutcome } from './StartOutcome.js';

/** Handles the outcomes of start commands. */
export class StartOutcomeHandler {
  readonly #permits: PermitCache;
  readonly #lateStarts: LateStarts;

  /**
   * @param permits - placement permits; those that a worker refuses expire
   * @param lateStarts - starts that may still be executed
   */
  public constructor(permits: PermitCache, lateStarts: LateStarts) {
    this.#permits = permits;
    this.#lateStarts = lateStarts;
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
    if (outcome === 'unknown') this.#lateStarts.recordNoResponse(task, run, now);
    else this.#lateStarts.resolve(task, run);
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
