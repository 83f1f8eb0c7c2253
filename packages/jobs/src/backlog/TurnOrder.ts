import type { EligibleWorkers } from '../EligibleWorkers.js';
import type { PendingStep } from '../PendingStep.js';
import { resources } from '../resources.js';
import { schedulingLimits } from '../schedulingLimits.js';

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
    const overdueByService = new Map<string, PendingStep[]>();
    for (const each of pending) {
      const { turn, activeCount, key } = each.step;
      turn.update(activeCount === 0, now);
      if (turn.isHeld && this.#isOver(turn.startedAt, key, now)) turn.end();
      if (!isOverdue(each, now)) continue;
      const { service } = each.queue;
      if (eligible.measureUse(service) >= schedulingLimits.maxTurnUse) continue;
      const overdue = overdueByService.get(service);
      if (overdue === undefined) overdueByService.set(service, [each]);
      else overdue.push(each);
    }
    const selected = [...overdueByService.values()].map((overdue) =>
      selectOfService(overdue, eligible, now),
    );
    return selected.length === 1 ? (selected[0] ?? []) : [...alternate(selected)];
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

/** Selects the steps of one service; a step without room passes its turn on at once. */
const selectOfService = (
  overdue: readonly PendingStep[],
  eligible: EligibleWorkers,
  now: number,
): readonly PendingStep[] => {
  const { maxTurnSteps, maxTurnChecks } = schedulingLimits;
  const selected: PendingStep[] = [];
  let checkedCount = 0;
  for (const pending of listByTurns(overdue)) {
    if (selected.length >= maxTurnSteps || checkedCount >= maxTurnChecks) break;
    checkedCount += 1;
    const { turn } = pending.step;
    if (!turn.isHeld) turn.begin(now);
    if (canStart(pending, eligible)) selected.push(pending);
    else turn.end();
  }
  return selected;
};

/** Checks whether a task, or all tasks of a gang, fit under the cap of the account and on the workers. */
const canStart = (pending: PendingStep, eligible: EligibleWorkers): boolean => {
  const { description, job, waitingCount } = pending.step;
  const { size, isGang } = description;
  let missing = isGang === true ? waitingCount : 1;
  if (!job.account.canAdmit(size, missing)) return false;
  const { workers, maxFree } = eligible.find(pending);
  if (!resources.fits(size, maxFree)) return false;
  for (const { free } of workers) {
    missing -= resources.countFitting(size, free);
    if (missing <= 0) return true;
  }
  return false;
};

/** Lists steps that come first, then the others; the accounts take turns, so that none holds back another. */
function* listByTurns(overdue: readonly PendingStep[]): Iterable<PendingStep> {
  yield* alternate(groupByAccount(overdue.filter(isFirst)));
  yield* alternate(groupByAccount(overdue.filter((pending) => !isFirst(pending))));
}

/**
 * Checks whether a step comes before others: one that has nothing running, and one that lasts, since each of its tasks
 * must run at all times.
 */
const isFirst = ({ step: { activeCount, description } }: PendingStep): boolean =>
  activeCount === 0 || description.isLongRunning === true;

/** Groups the steps by account, each group in the order of its turns. */
const groupByAccount = (overdue: readonly PendingStep[]): readonly (readonly PendingStep[])[] => {
  const groups = new Map<string, PendingStep[]>();
  for (const pending of [...overdue].sort(compareWaiting)) {
    const { account, queue } = pending.step.job.record;
    // Jobs of open queues have no account.
    const name = account === '' ? `queue ${queue}` : account;
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [pending]);
    else group.push(pending);
  }
  return [...groups.values()];
};

/** Compares steps: one that has its turn comes first, then the one that has waited for longest since its last turn. */
const compareWaiting = ({ step: a }: PendingStep, { step: b }: PendingStep): number =>
  Number(b.turn.isHeld) - Number(a.turn.isHeld) || a.turn.waitingSince - b.turn.waitingSince;

/** Lists the first step of each group, then the second one of each, and so on. */
function* alternate(groups: readonly (readonly PendingStep[])[]): Iterable<PendingStep> {
  const longest = Math.max(0, ...groups.map(({ length }) => length));
  for (let rank = 0; rank < longest; rank += 1) {
    for (const group of groups) {
      const pending = group[rank];
      if (pending !== undefined) yield pending;
    }
  }
}
