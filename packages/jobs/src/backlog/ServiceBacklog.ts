import type { ForecastService, Room } from '@toucanline/schema';
import { resources } from '../resources.js';
import { forecastLimits } from './forecastLimits.js';

/** Waiting work of one priority, cumulative by time to the deadline. */
interface WorkProfile {
  readonly onTime: number[];
  readonly overRate: number[];
}

/** Waiting and running work of one service, in processor seconds, and the rate at which it drains. */
export class ServiceBacklog {
  readonly #profiles = new Map<number, WorkProfile>();
  #waiting = 0;
  #late = 0;
  #running = 0;
  #smallestTask: Room | undefined;
  #drainRate: number | undefined;
  #overRateDrainRate = 0;

  /** Processor seconds of the waiting tasks. */
  public get waiting(): number {
    return this.#waiting;
  }

  /** Processor seconds that the running tasks are expected to take still. */
  public get running(): number {
    return this.#running;
  }

  /** Processor seconds of work that can be done per second; 0 if the service has no workers. */
  public get drainRate(): number {
    return this.#drainRate ?? 0;
  }

  /** Size of the waiting task with the fewest processors; undefined if none waits. */
  public get smallestTask(): Room | undefined {
    return this.#smallestTask;
  }

  /** Time that the waiting work takes to drain, in milliseconds; 0 if the rate is not known. */
  public get delayMs(): number {
    return this.#toDelayMs(this.#waiting);
  }

  /** Forgets the work, but not the rate, before it is counted again. */
  public reset(): void {
    this.#profiles.clear();
    this.#waiting = 0;
    this.#late = 0;
    this.#running = 0;
    this.#smallestTask = undefined;
  }

  /**
   * Adds waiting work.
   *
   * @param size - resources of each task
   * @param work - processor seconds of all tasks
   * @param order - `onTime`, `late`, or `overRate` for jobs beyond the entitled rate of their account, which come last
   * @param priority - priority of the queue
   * @param timeLeftMs - time to the deadline of the job, in milliseconds
   */
  public addWaiting(
    size: Room,
    work: number,
    order: 'onTime' | 'late' | 'overRate',
    priority: number,
    timeLeftMs: number,
  ): void {
    this.#waiting += work;
    if (
      this.#smallestTask === undefined ||
      resources.toProcessorEquivalents(size) < resources.toProcessorEquivalents(this.#smallestTask)
    )
      this.#smallestTask = size;
    if (order === 'late') {
      this.#late += work;
      return;
    }
    const { horizonsMs } = forecastLimits;
    const profile = this.#profiles.get(priority) ?? {
      onTime: horizonsMs.map(() => 0),
      overRate: horizonsMs.map(() => 0),
    };
    this.#profiles.set(priority, profile);
    const sums = profile[order];
    horizonsMs.forEach((horizonMs, index) => {
      const isLast = index === horizonsMs.length - 1;
      if (timeLeftMs <= horizonMs || isLast) sums[index] = (sums[index] ?? 0) + work;
    });
  }

  /**
   * Adds running work.
   *
   * @param work - processor seconds that are left
   */
  public addRunning(work: number): void {
    this.#running += work;
  }

  /**
   * Measures the rates at which work drains, in processor seconds per second. Jobs beyond their rate get only what the
   * others leave.
   *
   * @param others - work that the running tasks of other jobs do
   * @param overRate - work that the running tasks of jobs beyond their rate do, and that free capacity could do
   */
  public measureDrain(others: number, overRate: number): void {
    const { drainWeight, minOverRateShare } = forecastLimits;
    const rate = others + overRate;
    const limitedOverRate = Math.max(overRate, rate * minOverRateShare);
    const isFirst = this.#drainRate === undefined;
    const previous = this.#drainRate ?? 0;
    const weight = isFirst ? 1 : drainWeight;
    this.#drainRate = previous + (rate - previous) * weight;
    this.#overRateDrainRate += (limitedOverRate - this.#overRateDrainRate) * weight;
  }

  /**
   * Describes the delays for the hosts.
   *
   * @param service - name of the service
   * @returns delays; undefined if a new job would start at once, or if the rate is not known
   */
  public describe(service: string): ForecastService | undefined {
    if (this.drainRate <= 0 || this.delayMs < forecastLimits.minDelayMs) return undefined;
    const classes = [...this.#profiles]
      .sort(([a], [b]) => a - b)
      .slice(0, forecastLimits.maxPriorities)
      .map(([priority, { onTime, overRate }]) => ({
        priority,
        onTimeMs: onTime.map((work) => this.#toDelayMs(work)),
        overRateMs: overRate.map((work) => this.#toDelayMs(work, this.#overRateDrainRate)),
      }));
    return {
      service,
      drainRate: Math.round(this.drainRate * 10) / 10,
      overRateDrainRate: Math.round(this.#overRateDrainRate * 10) / 10,
      lateMs: this.#toDelayMs(this.#late),
      classes,
    };
  }

  #toDelayMs(work: number, rate = this.drainRate): number {
    const { resolutionMs } = forecastLimits;
    if (rate <= 0) return 0;
    return Math.round(((work / rate) * 1000) / resolutionMs) * resolutionMs;
  }
}
