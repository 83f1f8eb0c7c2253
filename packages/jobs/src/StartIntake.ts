import type { Order } from './Order.js';
import type { PermitBook } from './PermitBook.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StartOutcome } from './StartOutcome.js';

/** Takes the outcomes of start orders. */
export class StartIntake {
  readonly #permits: PermitBook;

  /** @param permits - placement permits, which a worker may refuse */
  public constructor(permits: PermitBook) {
    this.#permits = permits;
  }

  /**
   * Takes an outcome. A task that surely did not start waits again; after an unknown outcome its run is stopped first.
   *
   * @param order - the order
   * @param outcome - its outcome
   * @param now - monotonic time
   */
  public take(
    { task, worker, run }: Extract<Order, { kind: 'start' }>,
    outcome: StartOutcome,
    now: number,
  ): void {
    if (task.worker !== worker || task.run !== run || task.phase !== 'starting') return;
    switch (outcome) {
      case 'started':
        task.confirm(now);
        task.step.job.noteStart();
        return;
      case 'unknown':
        worker.noteCallFailure(now, task.since);
        task.beginStop(now, 'unanswered');
        return;
      case 'permit':
        this.#permits.expire(task.step.key, worker);
        break;
      case 'refused':
      case 'room':
      case 'unhealthy':
      case 'late':
        worker.noteCallFailure(now, now);
        break;
      case 'invalid':
        task.step.delayUntil(now + schedulingLimits.maxWorkerBackoffMs);
        break;
      default:
        break;
    }
    task.release('', now);
  }
}
