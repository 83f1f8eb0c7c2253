import type { DurationLevel, DurationOutcome, Scheduler } from '@toucanline/jobs';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';
import type { HostMetrics } from './HostMetrics.js';

/** Longest list of outcomes for one log line. Metrics include all of them. */
const maxReportedOutcomes = 20_000;

/** Reports at intervals how many estimates of durations are learned, and how exact they are. */
export class DurationReporter {
  readonly #scheduler: Scheduler;
  readonly #metrics: HostMetrics;
  readonly #log: EventLog;
  #outcomes: DurationOutcome[] = [];
  #reportedAt = performance.now();

  /**
   * @param scheduler - owns the estimates
   * @param metrics - metrics of this process
   * @param log - event log of this process
   */
  public constructor(scheduler: Scheduler, metrics: HostMetrics, log: EventLog) {
    this.#scheduler = scheduler;
    this.#metrics = metrics;
    this.#log = log;
  }

  /**
   * Takes the outcomes since the last call, and writes a log line once the interval is over.
   *
   * @param now - monotonic time in milliseconds
   */
  public update(now: number): void {
    for (const outcome of this.#scheduler.durations.takeOutcomes()) {
      this.#metrics.observeDuration(outcome.level, outcome.ratio);
      if (this.#outcomes.length < maxReportedOutcomes) this.#outcomes.push(outcome);
    }
    if (now - this.#reportedAt < hostLimits.durationsReportMs) return;
    this.#reportedAt = now;
    const outcomes = this.#outcomes;
    this.#outcomes = [];
    if (outcomes.length === 0) return;
    const count = (level: DurationLevel): number =>
      outcomes.filter((each) => each.level === level).length;
    const ratios = outcomes.map(({ ratio }) => ratio).sort((a, b) => a - b);
    this.#log.write('durationsReported', {
      runs: outcomes.length,
      declared: count('declared'),
      byQueue: count('queue'),
      bySize: count('size'),
      byAccount: count('account'),
      medianRatio: findQuantile(ratios, 0.5),
      ratio90: findQuantile(ratios, 0.9),
    });
  }
}

/** Finds a quantile of sorted ratios, rounded to two digits. */
const findQuantile = (sorted: readonly number[], share: number): number =>
  Math.round((sorted[Math.floor((sorted.length - 1) * share)] ?? 0) * 100) / 100;
