import type { ForecastAccount, ForecastNotice, Room } from '@toucanline/schema';
import type { AccountUsage } from '../AccountUsage.js';
import type { DurationEstimates } from '../durations/DurationEstimates.js';
import type { PendingStep } from '../PendingStep.js';
import type { PendingSteps } from '../PendingSteps.js';
import { resources } from '../resources.js';
import type { StepInstance } from '../StepInstance.js';
import type { Task } from '../Task.js';
import type { WorkerPool } from '../WorkerPool.js';
import { forecastLimits } from './forecastLimits.js';
import { ServiceBacklog } from './ServiceBacklog.js';

/** Waiting work of one account, in processor seconds, and whether it has jobs beyond its rate. */
interface AccountBacklog {
  readonly waiting: number;
  /** Part of it that is within the rate of the account. */
  readonly withinRate: number;
  readonly hasOverRate: boolean;
}

/** Forecasts from the waiting and running work when a job that arrives now would be served. */
export class BacklogForecast {
  readonly #pendingSteps: PendingSteps;
  readonly #pool: WorkerPool;
  readonly #durations: DurationEstimates;
  readonly #startedAt: number;
  readonly #services = new Map<string, ServiceBacklog>();
  /** Moving means of the rates at which the tasks of each account within its rate work, in processor seconds per second. */
  #accountRates: ReadonlyMap<AccountUsage, number> = new Map();
  /** Moving means of the use of accounts by weight. The use of a single moment says little about their shares. */
  #meanUses: ReadonlyMap<AccountUsage, number> = new Map();
  #measuredAt = -Infinity;

  /**
   * @param pendingSteps - lists the steps that wait for placement
   * @param pool - known workers
   * @param durations - expected durations
   * @param startedAt - monotonic time at which the term of the leader began, in milliseconds
   */
  public constructor(
    pendingSteps: PendingSteps,
    pool: WorkerPool,
    durations: DurationEstimates,
    startedAt: number,
  ) {
    this.#pendingSteps = pendingSteps;
    this.#pool = pool;
    this.#durations = durations;
    this.#startedAt = startedAt;
  }

  /** Work by service, as of the last forecast. */
  public get services(): ReadonlyMap<string, ServiceBacklog> {
    return this.#services;
  }

  /**
   * Makes a forecast, unless the last one is too recent.
   *
   * @param now - monotonic time in milliseconds
   * @param hosts - number of hosts that receive the forecast
   * @returns forecast, empty while nothing waits and during the first seconds of a leader; undefined if it is not due
   */
  public update(now: number, hosts: number): ForecastNotice | undefined {
    if (now - this.#measuredAt < forecastLimits.intervalMs) return undefined;
    this.#measuredAt = now;
    const smallestTasks = new Map(
      [...this.#services].map(([name, { smallestTask }]) => [name, smallestTask]),
    );
    for (const service of this.#services.values()) service.reset();
    this.#countRunning(now, smallestTasks);
    const accounts = this.#countWaiting(now);
    this.#measureUses([...accounts.keys()]);
    const isWarm = now - this.#startedAt >= forecastLimits.warmUpMs;
    const services = isWarm
      ? [...this.#services].flatMap(([name, backlog]) => backlog.describe(name) ?? [])
      : [];
    return {
      notice: 'forecast',
      hosts,
      services: services.slice(0, forecastLimits.maxServices),
      accounts: services.length === 0 ? [] : this.#describeAccounts(accounts),
    };
  }

  #ensureService(name: string): ServiceBacklog {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const created = new ServiceBacklog();
    this.#services.set(name, created);
    return created;
  }

  /** Counts the running work and the free capacity. Remainders that are too small for any waiting task are not free. */
  #countRunning(now: number, smallestTasks: ReadonlyMap<string, Room | undefined>): void {
    const rates = new Map<string, { readonly others: number; readonly overRate: number }>();
    const accountRates = new Map<AccountUsage, number>();
    const durationsMs = new Map<StepInstance, number>();
    for (const worker of this.#pool.all) {
      const { service } = worker.entry;
      let { others, overRate } = rates.get(service) ?? { others: 0, overRate: 0 };
      const { durationFactor } = worker.speed;
      const smallestTask = smallestTasks.get(service);
      const isUsable = smallestTask === undefined || resources.fits(smallestTask, worker.free);
      if (isUsable && worker.canAcceptTasks(now))
        overRate += Math.max(0, resources.toProcessorEquivalents(worker.free)) / durationFactor;
      for (const task of worker.tasks) {
        if (!isCounted(task.step.description) || task.phase === 'stopping') continue;
        const processors = resources.toProcessorEquivalents(task.step.description.size);
        const { account, isOverRate } = task.step.job;
        const rate = processors / durationFactor;
        if (isOverRate) overRate += rate;
        else others += rate;
        if (!isOverRate) accountRates.set(account, (accountRates.get(account) ?? 0) + rate);
        const { step } = task;
        const durationMs = durationsMs.get(step) ?? this.#durations.estimateStepMs(step);
        durationsMs.set(step, durationMs);
        const leftMs = Math.max(0, durationMs - (now - task.phaseStartedAt) / durationFactor);
        this.#ensureService(service).addRunning((processors * leftMs) / 1000);
      }
      rates.set(service, { others, overRate });
    }
    // An account whose tasks have just begun to run has the rate of now, not that of the past.
    this.#accountRates = new Map(
      [...accountRates].map(([account, rate]) => {
        const mean = this.#accountRates.get(account) ?? rate;
        return [account, Math.max(rate, mean + (rate - mean) * forecastLimits.drainWeight)];
      }),
    );
    // A service whose workers are gone is forgotten, so that the table does not grow with renamed services.
    for (const name of [...this.#services.keys()])
      if (!rates.has(name)) this.#services.delete(name);
    for (const [name, { others, overRate }] of rates)
      this.#ensureService(name).measureDrain(others, overRate);
  }

  #countWaiting(now: number): ReadonlyMap<AccountUsage, AccountBacklog> {
    const accounts = new Map<AccountUsage, AccountBacklog>();
    for (const pending of this.#pendingSteps.collect(now)) {
      const { step, queue, jobDeadline } = pending;
      const { description, job } = step;
      const service = this.#services.get(queue.service);
      if (!isCounted(description) || service === undefined) continue;
      const work = computeWork(
        description.size,
        step.waitingCount,
        this.#durations.estimateStepMs(step),
      );
      // Work beyond a cap waits for the account's own tasks, not for the fleet, so it delays no other account.
      const isCapped = !job.account.canAdmit(description.size);
      if (!isCapped)
        service.addWaiting(
          description.size,
          work,
          classify(pending),
          queue.priority,
          jobDeadline - now,
        );
      const known = accounts.get(job.account);
      accounts.set(job.account, {
        waiting: (known?.waiting ?? 0) + work,
        withinRate: (known?.withinRate ?? 0) + (job.isOverRate ? 0 : work),
        hasOverRate: (known?.hasOverRate ?? false) || job.isOverRate,
      });
    }
    return accounts;
  }

  /** Computes the time in which waiting work of an account drains; 0 if the rate is not known. */
  #computeBacklogMs(account: AccountUsage, waiting: number): number {
    const { resolutionMs } = forecastLimits;
    const rate = this.#accountRates.get(account) ?? 0;
    if (rate <= 0) return 0;
    return Math.round(((waiting / rate) * 1000) / resolutionMs) * resolutionMs;
  }

  #findUse(account: AccountUsage): number {
    return this.#meanUses.get(account) ?? 0;
  }

  /** Measures the use of the accounts that wait or have been measured, until they use nothing. */
  #measureUses(waiting: readonly AccountUsage[]): void {
    const { drainWeight, minMeanUse } = forecastLimits;
    const uses = [...new Set([...waiting, ...this.#meanUses.keys()])].map((account) => {
      const mean = this.#findUse(account);
      return [account, mean + (account.relativeUse - mean) * drainWeight] as const;
    });
    this.#meanUses = new Map(uses.filter(([, use]) => use >= minMeanUse));
  }

  #describeAccounts(
    accounts: ReadonlyMap<AccountUsage, AccountBacklog>,
  ): readonly ForecastAccount[] {
    const named = [...accounts].filter(([{ name }]) => name !== '');
    const meanUse = named.reduce((sum, [usage]) => sum + this.#findUse(usage), 0) / named.length;
    return named
      .sort(([, a], [, b]) => b.waiting - a.waiting)
      .slice(0, forecastLimits.maxAccounts)
      .flatMap(([usage, { hasOverRate, withinRate }]): readonly ForecastAccount[] => {
        const isOverShare = this.#findUse(usage) > meanUse * forecastLimits.shareFactor;
        const backlogMs = this.#computeBacklogMs(usage, withinRate);
        const hasBacklog = backlogMs >= forecastLimits.minDelayMs;
        if (!hasOverRate && !isOverShare && !hasBacklog) return [];
        return [
          {
            account: usage.name,
            isOverRate: hasOverRate,
            isOverShare,
            ...(hasBacklog && { backlogMs }),
          },
        ];
      });
  }
}

/** Opportunistic tasks use what others leave idle, and long-running ones have no expected duration. */
const isCounted = ({ isOpportunistic, isLongRunning }: Task['step']['description']): boolean =>
  isOpportunistic !== true && isLongRunning !== true;

const computeWork = (size: Room, count: number, durationMs: number): number =>
  (resources.toProcessorEquivalents(size) * count * durationMs) / 1000;

const classify = ({ step, lateness }: PendingStep): 'onTime' | 'late' | 'overRate' => {
  if (step.job.isOverRate) return 'overRate';
  return lateness === 'onTime' ? 'onTime' : 'late';
};
