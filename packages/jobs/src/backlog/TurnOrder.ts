import type { EligibleWorkers } from '../EligibleWorkers.js';
import type { PendingStep } from '../PendingStep.js';
import { resources } from '../resources.js';
import { schedulingLimits } from '../schedulingLimits.js';

/** Step that has been passed over for longer than its bound. */
interface OverdueStep {
  readonly pending: PendingStep;
  /** Number of steps of the same account before it. */
  readonly accountRank: number;
}

/**
 * Decides which waiting steps get a turn before the order of service: those that have been passed over for longest while
 * their service has room. Otherwise late work could wait without end behind work that is on time but waits for permits.
 * On a service that is in use for the most part there are no turns, since late work would then delay work on time.
 */
export class TurnOrder {
  readonly #isRequested: (stepKey: string) => boolean;

  /** @param isRequested - checks whether a request for permits for a step has no answer yet */
  public constructor(isRequested: (stepKey: string) => boolean) {
    this.#isRequested = isRequested;
  }

  /**
   * Selects the steps that have a turn. A turn ends with the start of a task or after its time, for example if no permits
   * arrive; the step then comes behind others that have waited for longer since their last turn.
   *
   * @param pending - all waiting steps in the order of service
   * @param eligible - workers that accept tasks
   * @param now - monotonic time of the pass, in milliseconds
   * @returns steps with a turn, the first one first
   */
  public select(
    pending: readonly PendingStep[],
    eligible: EligibleWorkers,
    now: number,
  ): readonly PendingStep[] {
    const overdue: PendingStep[] = [];
    for (const each of pending) {
      const { turn, activeCount, key } = each.step;
      turn.update(activeCount === 0, now);
      if (turn.isHeld && this.#isOver(turn.startedAt, key, now)) turn.end();
      if (!isOverdue(each, now)) continue;
      if (eligible.measureUse(each.queue.service) < schedulingLimits.maxTurnUse) overdue.push(each);
    }
    if (overdue.length === 0) return overdue;
    const selected: PendingStep[] = [];
    for (const { pending: each } of rankByAccount(overdue)) {
      if (selected.length >= schedulingLimits.maxTurnSteps) break;
      if (!canStart(each, eligible)) continue;
      if (!each.step.turn.isHeld) each.step.turn.begin(now);
      selected.push(each);
    }
    return selected;
  }

  /** A turn goes on while its request for permits waits for a channel, or most turns would end unused. */
  #isOver(startedAt: number, key: string, now: number): boolean {
    const { turnMs, maxTurnMs } = schedulingLimits;
    return now - startedAt >= (this.#isRequested(key) ? maxTurnMs : turnMs);
  }
}

const isOverdue = ({ step: { turn } }: PendingStep, now: number): boolean =>
  now - turn.idleSince >= schedulingLimits.idleTurnMs ||
  now - turn.passedOverSince >= schedulingLimits.partialTurnMs;

const canStart = (pending: PendingStep, eligible: EligibleWorkers): boolean => {
  const { size } = pending.step.description;
  return (
    pending.step.job.account.canAdmit(size) && resources.fits(size, eligible.find(pending).maxFree)
  );
};

/** A step without running tasks comes first. */
const compareActivity = ({ step: a }: PendingStep, { step: b }: PendingStep): number =>
  Math.min(a.activeCount, 1) - Math.min(b.activeCount, 1);

/** A step that has its turn comes first, then the one that has waited for longest since its last turn. */
const compareWaiting = ({ step: a }: PendingStep, { step: b }: PendingStep): number =>
  Number(b.turn.isHeld) - Number(a.turn.isHeld) || a.turn.waitingSince - b.turn.waitingSince;

/** Orders the steps so that the accounts take turns: one with many steps must not hold back one with a single step. */
const rankByAccount = (overdue: readonly PendingStep[]): readonly OverdueStep[] => {
  const counts = new Map<string, number>();
  const ranked = [...overdue]
    .sort((a, b) => compareActivity(a, b) || compareWaiting(a, b))
    .map((pending): OverdueStep => {
      const { account, queue } = pending.step.job.record;
      // Jobs of open queues have no account.
      const name = account === '' ? `queue ${queue}` : `account ${account}`;
      const accountRank = counts.get(name) ?? 0;
      counts.set(name, accountRank + 1);
      return { pending, accountRank };
    });
  return ranked.sort(
    (a, b) => compareActivity(a.pending, b.pending) || a.accountRank - b.accountRank,
  );
};
