import type {
  AccountConfiguration,
  ForecastAccount,
  ForecastNotice,
  ForecastService,
  JobSpecification,
  QueueConfiguration,
} from '@toucanline/schema';
import { JobRateLimiter } from '../JobRateLimiter.js';
import { resources } from '../resources.js';
import type { ForecastRefusal } from './ForecastRefusal.js';
import { forecastLimits } from './forecastLimits.js';

/** Submission that a host is about to store. */
interface Submission {
  readonly queue: QueueConfiguration;
  /** Configuration of the account; undefined on a queue that is open to all. */
  readonly account: AccountConfiguration | undefined;
  readonly specification: JobSpecification;
}

/** Work in processor seconds that was refused, and the monotonic time in milliseconds of the last refusal. */
interface RefusedWork {
  readonly work: number;
  readonly at: number;
}

/** Decides on a host by the leader's forecast which submissions are refused. It has no I/O and no clock of its own. */
export class ForecastAdmission {
  readonly #random: () => number;
  /** Rates of the accounts on this host. */
  readonly #rates = new Map<string, JobRateLimiter>();
  /** Work beyond the rates of accounts that this host has accepted since the last forecast, in processor seconds. */
  readonly #acceptedWork = new Map<string, number>();
  /** Work of refused submissions whose callers return later, by service. */
  readonly #refusedWork = new Map<string, RefusedWork>();
  #forecast: ForecastNotice | undefined;
  #receivedAt = -Infinity;

  /** @param random - returns random numbers from 0 to 1, by which refused callers are spread */
  public constructor(random: () => number) {
    this.#random = random;
  }

  /**
   * Applies a newer forecast of the leader.
   *
   * @param forecast - the forecast
   * @param now - monotonic time in milliseconds
   */
  public apply(forecast: ForecastNotice, now: number): void {
    this.#forecast = forecast;
    this.#receivedAt = now;
    this.#acceptedWork.clear();
  }

  /**
   * Checks a submission. One that is not refused counts against the rate of its account.
   *
   * @param submission - the submission
   * @param now - monotonic time in milliseconds
   * @returns undefined if the job is accepted; otherwise why it is refused
   */
  public check(submission: Submission, now: number): ForecastRefusal | undefined {
    const { queue, account, specification } = submission;
    const listed = this.#findAccount(account?.name, now);
    const isWithinRate = this.#takeRateToken(account, listed, now);
    const service = this.#findService(queue.service, now);
    if (service === undefined || !isForecastable(specification)) return undefined;
    const objectiveMs = computeObjectiveMs(queue, specification);
    if (!(objectiveMs > 0)) return undefined;
    const isEntitled = isWithinRate && listed?.isOverShare !== true;
    const { usefulFactor, entitledUsefulFactor } = forecastLimits;
    const usefulMs = objectiveMs * (isEntitled ? entitledUsefulFactor : usefulFactor);
    const acceptedMs = isWithinRate ? 0 : this.#computeAcceptedMs(service);
    const orderMs = computeDelayMs(service, queue.priority, objectiveMs, !isWithinRate);
    // Work of an account within its rate and share precedes the late work of others, but not its own backlog for long.
    const delayMs = isEntitled
      ? Math.max(orderMs, listed?.backlogMs ?? 0)
      : orderMs + service.lateMs + acceptedMs;
    const ownMs = computeOwnMs(service, specification);
    const completionMs = delayMs + ownMs;
    // A job that alone takes longer than is useful would not be served in time later either.
    if (delayMs < forecastLimits.minDelayMs || completionMs <= usefulMs || ownMs > usefulMs) {
      if (!isWithinRate) this.#addAcceptedWork(service, specification);
      return undefined;
    }
    const refusedMs = this.#addRefusedWork(service, specification, now);
    const retryAfterSeconds = this.#chooseRetrySeconds(completionMs - usefulMs + refusedMs);
    return { isEntitled, delayMs, completionMs, usefulMs, retryAfterSeconds };
  }

  /**
   * Counts a submission against the rate of its account. An account beyond its rate on this host alone is beyond it on
   * the whole site. Once the leader lists an account, each host uses an equal part of its rate: all hosts together would
   * otherwise accept the whole rate several times.
   */
  #takeRateToken(
    account: AccountConfiguration | undefined,
    listed: ForecastAccount | undefined,
    now: number,
  ): boolean {
    if (account === undefined) return true;
    const limiter = this.#rates.get(account.name) ?? new JobRateLimiter();
    this.#rates.set(account.name, limiter);
    const weight = account.weight > 0 ? account.weight : 1;
    const hosts = listed?.isOverRate === true ? (this.#forecast?.hosts ?? 1) : 1;
    return limiter.takeToken(weight / hosts, now);
  }

  /** Computes the time for what all hosts have accepted since the forecast, as if they accepted as much as this one. */
  #computeAcceptedMs({ service, overRateDrainRate }: ForecastService): number {
    const work = (this.#acceptedWork.get(service) ?? 0) * (this.#forecast?.hosts ?? 1);
    return overRateDrainRate > 0 ? (work / overRateDrainRate) * 1000 : 0;
  }

  #addAcceptedWork({ service }: ForecastService, specification: JobSpecification): void {
    const work = (this.#acceptedWork.get(service) ?? 0) + computeWork(specification);
    this.#acceptedWork.set(service, work);
  }

  #findAccount(name: string | undefined, now: number): ForecastAccount | undefined {
    if (now - this.#receivedAt > forecastLimits.maxAgeMs) return undefined;
    return this.#forecast?.accounts.find(({ account }) => account === name);
  }

  #findService(name: string, now: number): ForecastService | undefined {
    if (now - this.#receivedAt > forecastLimits.maxAgeMs) return undefined;
    return this.#forecast?.services.find(({ service }) => service === name);
  }

  /**
   * Adds the work of a refused submission to what will be submitted again, which drains like other work.
   *
   * @returns time for the work that was refused before, as if all hosts refused as much as this one, in milliseconds
   */
  #addRefusedWork(
    { service, overRateDrainRate }: ForecastService,
    specification: JobSpecification,
    now: number,
  ): number {
    const hosts = this.#forecast?.hosts ?? 1;
    const rate = Math.max(overRateDrainRate, Number.EPSILON) / hosts;
    const { work = 0, at = now } = this.#refusedWork.get(service) ?? {};
    const left = Math.max(0, work - (rate * (now - at)) / 1000);
    this.#refusedWork.set(service, { work: left + computeWork(specification), at: now });
    return (left / rate) * 1000;
  }

  /** Spreads the callers over a time after the earliest return, and those beyond the longest wait over its second half. */
  #chooseRetrySeconds(waitMs: number): number {
    const { minRetryMs, maxRetryMs, spreadMs } = forecastLimits;
    const earliestMs = Math.max(minRetryMs, waitMs);
    const fromMs = earliestMs + spreadMs > maxRetryMs ? maxRetryMs / 2 : earliestMs;
    const toMs = Math.min(earliestMs + spreadMs, maxRetryMs);
    return Math.ceil((fromMs + this.#random() * (toMs - fromMs)) / 1000);
  }
}

/** Jobs with a schedule and long-running ones do not compete for a start now. */
const isForecastable = ({ schedule, steps }: JobSpecification): boolean =>
  schedule === undefined &&
  steps.every(
    ({ isLongRunning, isOpportunistic }) => isLongRunning !== true && isOpportunistic !== true,
  );

/** Computes the declared duration of the longest chain of steps, in milliseconds. */
const computeChainMs = ({ steps }: JobSpecification): number => {
  const chainsMs: number[] = [];
  for (const { estimateMs, dependsOn } of steps)
    chainsMs.push(estimateMs + Math.max(0, ...dependsOn.map((number) => chainsMs[number] ?? 0)));
  return Math.max(0, ...chainsMs);
};

const computeObjectiveMs = (
  { stretch, objectiveMs }: QueueConfiguration,
  specification: JobSpecification,
): number => stretch * computeChainMs(specification) + objectiveMs;

/** Computes how long the job takes once it is served: its longest chain, or all its work at the drain rate. */
const computeOwnMs = ({ drainRate }: ForecastService, specification: JobSpecification): number => {
  const workMs = drainRate > 0 ? (computeWork(specification) / drainRate) * 1000 : 0;
  return Math.max(computeChainMs(specification), workMs);
};

/** Computes the work of a job by its declarations, in processor seconds. */
const computeWork = ({ steps }: JobSpecification): number =>
  steps.reduce(
    (sum, { size, taskCount, estimateMs }) =>
      sum + (resources.toProcessorEquivalents(size) * taskCount * estimateMs) / 1000,
    0,
  );

/**
 * Computes the time that the work takes which is served before a job, in the order of `comparePendingSteps`, without late
 * work. That comes before jobs beyond their rate, and would keep growing behind an account beyond its share.
 */
const computeDelayMs = (
  { classes }: ForecastService,
  priority: number,
  objectiveMs: number,
  isOverRate: boolean,
): number => {
  let delayMs = 0;
  for (const { priority: other, onTimeMs, overRateMs } of classes) {
    const wholeMs = onTimeMs.at(-1) ?? 0;
    if (isOverRate) {
      delayMs += wholeMs;
      if (other < priority) delayMs += overRateMs.at(-1) ?? 0;
      else if (other === priority) delayMs += interpolate(overRateMs, objectiveMs);
    } else if (other < priority) delayMs += wholeMs;
    else if (other === priority) delayMs += interpolate(onTimeMs, objectiveMs);
  }
  return delayMs;
};

/** Interpolates the work with a deadline within a time, from the sums up to the horizons. */
const interpolate = (sums: readonly number[], timeMs: number): number => {
  let previousMs = 0;
  let previousSum = 0;
  for (const [index, horizonMs] of forecastLimits.horizonsMs.entries()) {
    const sum = sums[index] ?? previousSum;
    if (timeMs <= horizonMs) {
      const position = (timeMs - previousMs) / (horizonMs - previousMs);
      return previousSum + (sum - previousSum) * position;
    }
    previousMs = horizonMs;
    previousSum = sum;
  }
  return previousSum;
};
