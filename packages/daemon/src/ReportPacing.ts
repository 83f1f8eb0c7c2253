import { computeReportPause } from './computeReportPause.js';
import { hostLimits } from './hostLimits.js';

/** Shortest time over which the rate of reports is measured, in milliseconds. */
const measuringIntervalMs = 100;
/** Share of the limit that is aimed at, so that the swings around it stay below the limit. */
const targetShare = 0.85;
/** Largest growth of the pause in one step, as a factor. */
const maxGrowth = 2;
/** Largest shrinkage in one step: slower than the growth, or the pause would oscillate around the limit. */
const maxShrinkage = 0.95;

/**
 * Controls the pause between two reports of a worker. While the reports of all workers together stay within the limit
 * of this host, an end is learned at once; above it the pause grows, up to the one that keeps any fleet of this size
 * within the limit.
 */
export class ReportPacing {
  readonly #processors: number;
  #pauseMs: number = hostLimits.minReportPauseMs;
  #reports = 0;
  #measuredFrom: number;

  /**
   * @param processors - processor time of this host per second, in seconds
   * @param now - monotonic time in milliseconds
   */
  public constructor(processors: number, now: number) {
    this.#processors = processors;
    this.#measuredFrom = now;
  }

  /** Pause between two reports of a worker, in milliseconds. */
  public get pauseMs(): number {
    return this.#pauseMs;
  }

  /** Counts a report of any worker. */
  public recordReport(): void {
    this.#reports += 1;
  }

  /**
   * Adjusts the pause to the rate of reports since the last adjustment.
   *
   * @param busyWorkers - number of workers that run tasks
   * @param now - monotonic time in milliseconds
   */
  public update(busyWorkers: number, now: number): void {
    const elapsedMs = now - this.#measuredFrom;
    // Within less than a pause a change of it has no effect yet.
    if (elapsedMs < Math.max(measuringIntervalMs, this.#pauseMs)) return;
    const perSecond = (this.#reports * 1000) / elapsedMs;
    const limitPerSecond = hostLimits.maxReportsPerProcessorSecond * this.#processors;
    const load = perSecond / (limitPerSecond * targetShare);
    const factor = Math.min(maxGrowth, Math.max(maxShrinkage, load));
    const longestMs = computeReportPause(busyWorkers, this.#processors);
    this.#pauseMs = Math.min(
      longestMs,
      Math.max(hostLimits.minReportPauseMs, this.#pauseMs * factor),
    );
    this.#reports = 0;
    this.#measuredFrom = now;
  }
}
