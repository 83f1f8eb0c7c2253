import type { DurationBin } from './DurationBin.js';
import type { DurationSummary } from './DurationSummary.js';

/** Bins per doubling of the ratio. Quantiles are interpolated, so that a bin need not be narrower than 19%. */
const binsPerOctave = 4;
/** Natural logarithm of the width of a bin. */
const binWidth = Math.LN2 / binsPerOctave;
/** Bounds of the bin numbers: ratios from 2^-10 to 2^20. They also bound the number of bins. */
const minBin = -10 * binsPerOctave;
const maxBin = 20 * binsPerOctave;
/** Weight that the earlier runs keep with each run: after 140 runs, half of the weight is newer. */
const retainedPerRun = 0.995;
/** Time after which earlier runs have half of their weight, in milliseconds, when the next run is added. */
const halfLifeMs = 600_000;
/** Bins with a smaller weight are dropped. */
const minWeight = 0.01;

/** Logarithm of a ratio. If it is not known, the actual one is at least as large. */
interface Quantile {
  readonly value: number;
  readonly isKnown: boolean;
}

interface Quantiles {
  readonly low: Quantile;
  readonly median: Quantile;
  readonly high: Quantile;
  readonly tail: Quantile;
}

/** Share of the tasks that have not ended before and after one bin. */
interface SurvivalStep {
  readonly number: number;
  readonly before: number;
  readonly after: number;
}

/**
 * Distribution of the ratio of actual to declared durations of a kind of work. Earlier runs lose their weight with each
 * further run and with time. Runs that were cut short count as in the Kaplan-Meier estimator: they lower the share of
 * tasks that ends in each later bin, and indicate nothing else.
 */
export class DurationHistogram {
  #bins = new Map<number, DurationBin>();
  #updatedAt: number;
  #quantiles: Quantiles | undefined;
  #weight = 0;
  #runCount = 0;

  /** @param now - monotonic time in milliseconds */
  public constructor(now: number) {
    this.#updatedAt = now;
  }

  /** Weight of all runs after the decay. */
  public get weight(): number {
    return this.#weight;
  }

  /** Number of runs that were added, without stored ones. */
  public get runCount(): number {
    return this.#runCount;
  }

  /** Bins by number, in no particular order. */
  public get bins(): Iterable<readonly [number, DurationBin]> {
    return this.#bins;
  }

  /**
   * Adds a run.
   *
   * @param logRatio - natural logarithm of the ratio of its duration to the declared one
   * @param isCutShort - whether the run ended before the task was done
   * @param weight - weight of the run
   * @param now - monotonic time in milliseconds
   */
  public add(logRatio: number, isCutShort: boolean, weight: number, now: number): void {
    const elapsedMs = Math.max(0, now - this.#updatedAt);
    this.#decay(retainedPerRun ** weight * 0.5 ** (elapsedMs / halfLifeMs));
    this.#updatedAt = now;
    this.#runCount += 1;
    const bin = { ended: isCutShort ? 0 : weight, cutShort: isCutShort ? weight : 0 };
    this.addBin(Math.floor(logRatio / binWidth), bin);
  }

  /**
   * Adds stored weights to a bin.
   *
   * @param number - number of the bin; outside of the bounds, the nearest one is used
   * @param added - weights to add
   */
  public addBin(number: number, added: DurationBin): void {
    const bounded = Math.min(maxBin, Math.max(minBin, number));
    const { ended = 0, cutShort = 0 } = this.#bins.get(bounded) ?? {};
    this.#bins.set(bounded, {
      ended: ended + added.ended,
      cutShort: cutShort + added.cutShort,
    });
    this.#weight += added.ended + added.cutShort;
    this.#quantiles = undefined;
  }

  /**
   * Summarizes the distribution. A quantile beyond the longest run that was cut short is not known; it is at least that
   * long, and at least as long as in the distribution of a more general kind.
   *
   * @param general - distribution of the more general kind
   * @returns median, tail and deviation
   */
  public summarize(general: DurationSummary): DurationSummary {
    this.#quantiles ??= this.#findQuantiles();
    const { low, median, high, tail } = this.#quantiles;
    const medianRatio = median.isKnown ? median.value : Math.max(median.value, general.median);
    return {
      median: medianRatio,
      tail: Math.max(medianRatio, tail.isKnown ? tail.value : Math.max(tail.value, general.tail)),
      deviation: low.isKnown && high.isKnown ? (high.value - low.value) / 2 : general.deviation,
    };
  }

  #decay(factor: number): void {
    const bins = new Map<number, DurationBin>();
    this.#weight = 0;
    for (const [number, { ended, cutShort }] of this.#bins) {
      const bin = { ended: ended * factor, cutShort: cutShort * factor };
      const weight = bin.ended + bin.cutShort;
      if (weight < minWeight) continue;
      bins.set(number, bin);
      this.#weight += weight;
    }
    this.#bins = bins;
  }

  #findQuantiles(): Quantiles {
    const steps = this.#listSurvival();
    return {
      low: findQuantile(steps, 0.16),
      median: findQuantile(steps, 0.5),
      high: findQuantile(steps, 0.84),
      tail: findQuantile(steps, 0.95),
    };
  }

  /** Lists the share of tasks that take longer than each bin, the shortest bin first. */
  #listSurvival(): readonly SurvivalStep[] {
    const sorted = [...this.#bins].sort(([a], [b]) => a - b);
    let before = 1;
    let atRisk = this.#weight;
    return sorted.map(([number, { ended, cutShort }]) => {
      // The runs that were cut short in a bin were at risk for half of it on average.
      const hazard = ended > 0 ? Math.min(1, ended / Math.max(ended, atRisk - cutShort / 2)) : 0;
      const step = { number, before, after: before * (1 - hazard) };
      before = step.after;
      atRisk -= ended + cutShort;
      return step;
    });
  }
}

/** Finds the ratio at a share of the tasks, interpolated within its bin. */
const findQuantile = (steps: readonly SurvivalStep[], share: number): Quantile => {
  const surviving = 1 - share;
  const step = steps.find(({ after }) => after <= surviving);
  if (step === undefined)
    return { value: ((steps.at(-1)?.number ?? 0) + 1) * binWidth, isKnown: false };
  const { number, before, after } = step;
  return { value: (number + (before - surviving) / (before - after)) * binWidth, isKnown: true };
};
