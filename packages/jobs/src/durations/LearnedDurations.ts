import type { DurationRecord } from '@toucanline/schema';
import type { StepInstance } from '../StepInstance.js';
import { schedulingLimits } from '../schedulingLimits.js';
import { StepDuration } from '../StepDuration.js';
import type { Task } from '../Task.js';
import type { DurationEstimate } from './DurationEstimate.js';
import { DurationEstimates } from './DurationEstimates.js';
import { DurationHistogram } from './DurationHistogram.js';
import type { DurationKind } from './DurationKind.js';
import type { DurationLevel } from './DurationLevel.js';
import type { DurationSummary } from './DurationSummary.js';
import { KindEstimate } from './KindEstimate.js';
import { findDurationKind } from './findDurationKind.js';

/** Maximum number of kinds. A kind takes a few hundred bytes in the stored record and about 2 KB of memory. */
const maxKinds = 512;
/** Weight of runs at which a kind counts as much as the more general one. */
const generalWeight = 6;
/** Weight of a finished run in the mean of the workers' duration factors. */
const meanFactorWeight = 0.01;
/** Shortest expected duration in milliseconds. */
const minDurationMs = 50;
/** Smallest variance between the steps of a kind: a step may differ from all earlier ones. */
const minStepVariance = 0.02;
/** Number of standard deviations from the median to the 95th percentile of a normal distribution. */
const tailDeviations = 1.645;

/** Distribution of the ratio without any runs: declared durations are off by a factor of up to two or three. */
const declared: DurationSummary = {
  median: 0,
  tail: tailDeviations * Math.sqrt(StepDuration.declaredVariance),
  deviation: Math.sqrt(StepDuration.declaredVariance),
};

/**
 * Learns the distribution of the ratio of actual to declared durations, by kind of work. With few runs of a kind, the
 * estimate is that of the more general kind, and without any, the declared duration.
 */
export class LearnedDurations extends DurationEstimates {
  /** Distributions by key of the kind, the least recently used first. */
  readonly #histograms = new Map<string, DurationHistogram>();
  readonly #kinds = new WeakMap<StepInstance, KindEstimate>();
  /** Gang steps whose run was recorded, because each member reports the end of the same run. */
  readonly #recordedGangs = new WeakSet<StepInstance>();
  /**
   * Moving mean of the logarithms of the workers' duration factors, weighted by runs. The factors are learned from the
   * same runs, so without a common reference all of them could rise while all ratios fall.
   */
  #meanLogFactor = 0;
  /** Changes whenever distributions are added or removed. */
  #tableVersion = 0;
  readonly #findHistogram = (key: string): DurationHistogram | undefined =>
    this.#histograms.get(key);

  /** {@inheritDoc DurationEstimates.estimateKind} */
  public override estimateKind(step: StepInstance): DurationEstimate {
    return this.#findKind(step).get(this.#tableVersion, this.#findHistogram, computeEstimate);
  }

  /** {@inheritDoc DurationEstimates.estimateRunMs} */
  public override estimateRunMs({ step, worker }: Task): number {
    return this.estimateStepMs(step) * (worker?.speed.durationFactor ?? 1);
  }

  /** {@inheritDoc DurationEstimates.estimateRequiredMs} */
  public override estimateRequiredMs(step: StepInstance): number {
    const { medianMs, tailMs } = this.estimateKind(step);
    const { placementSafetyFactor } = schedulingLimits;
    // Time for a run in the tail, or for a failed run and a second one. Without any runs, both are about equal.
    return this.estimateStepMs(step) * Math.max(placementSafetyFactor, tailMs / medianMs);
  }

  /** {@inheritDoc DurationEstimates.estimateStallBaseMs} */
  public override estimateStallBaseMs(step: StepInstance): number {
    const { medianMs, tailMs } = this.estimateKind(step);
    // A run that takes seven times as long also reports each percent seven times as late.
    return this.estimateStepMs(step) * (tailMs / medianMs);
  }

  /** {@inheritDoc DurationEstimates.recordDone} */
  public override recordDone(task: Task, durationMs: number, now: number): void {
    const { step } = task;
    const { isGang, isOpportunistic, isLongRunning } = step.description;
    if (isLongRunning === true) return;
    if (isGang !== true && isOpportunistic !== true) {
      const logMs = this.updateSpeeds(task, durationMs, now);
      if (logMs === undefined) return;
      const logFactor = task.worker?.speed.logDurationFactor ?? 0;
      this.#meanLogFactor += (logFactor - this.#meanLogFactor) * meanFactorWeight;
      this.#add(step, logMs, false, now);
      return;
    }
    if (isGang === true && this.#recordedGangs.has(step)) return;
    const logMs = Math.log(Math.max(1, durationMs)) - findSharedLogFactor(task);
    const { medianMs, level } = this.estimateKind(step);
    this.addOutcome(level, Math.exp(logMs) / medianMs);
    this.#add(step, logMs, false, now);
    if (isGang === true) this.#recordedGangs.add(step);
  }

  /** {@inheritDoc DurationEstimates.recordCutShort} */
  public override recordCutShort(task: Task, elapsedMs: number, now: number): void {
    if (task.step.description.isLongRunning === true || elapsedMs <= 0) return;
    this.#add(task.step, Math.log(Math.max(1, elapsedMs)) - findSharedLogFactor(task), true, now);
  }

  /** {@inheritDoc DurationEstimates.describe} */
  public override describe(maxBytes: number): DurationRecord {
    const kinds: DurationRecord['kinds'][number][] = [];
    let bytes = Buffer.byteLength(JSON.stringify({ kinds }));
    for (const [key, histogram] of [...this.#histograms].reverse()) {
      const kind = { key, bins: describeBins(histogram) };
      // The comma after each kind is included.
      bytes += Buffer.byteLength(JSON.stringify(kind)) + 1;
      if (bytes > maxBytes) break;
      kinds.push(kind);
    }
    return { kinds };
  }

  /** {@inheritDoc DurationEstimates.restore} */
  public override restore({ kinds }: DurationRecord, now: number): void {
    // Kinds that this leader has already used count as used more recently than all stored ones.
    const current = [...this.#histograms];
    this.#histograms.clear();
    this.#tableVersion += 1;
    for (const { key, bins } of [...kinds].reverse()) {
      const histogram = new DurationHistogram(now);
      for (const { bin, ended = 0, cutShort = 0 } of bins)
        histogram.addBin(bin, { ended, cutShort });
      this.#histograms.set(key, histogram);
    }
    for (const [key, histogram] of current) {
      for (const [number, bin] of this.#histograms.get(key)?.bins ?? [])
        histogram.addBin(number, bin);
      this.#histograms.delete(key);
      this.#histograms.set(key, histogram);
    }
    this.#evict();
  }

  #findKind(step: StepInstance): KindEstimate {
    const known = this.#kinds.get(step);
    if (known !== undefined) return known;
    const kind = findDurationKind(step);
    const created = new KindEstimate(kind);
    this.#kinds.set(step, created);
    // The first estimate of a step also counts as a use of its kinds.
    for (const { key } of kind.keys) {
      const histogram = this.#histograms.get(key);
      if (histogram !== undefined) this.#markUsed(key, histogram);
    }
    return created;
  }

  #add(step: StepInstance, logMs: number, isCutShort: boolean, now: number): void {
    const { keys, baseMs } = this.#findKind(step).kind;
    const weight = computeWeight(step, isCutShort);
    const logRatio = logMs + this.#meanLogFactor - Math.log(baseMs);
    for (const { key } of keys) {
      const known = this.#histograms.get(key);
      if (known === undefined) this.#tableVersion += 1;
      const histogram = known ?? new DurationHistogram(now);
      histogram.add(logRatio, isCutShort, weight, now);
      this.#markUsed(key, histogram);
    }
    this.#evict();
  }

  #markUsed(key: string, histogram: DurationHistogram): void {
    this.#histograms.delete(key);
    this.#histograms.set(key, histogram);
  }

  #evict(): void {
    for (const key of this.#histograms.keys()) {
      if (this.#histograms.size <= maxKinds) return;
      this.#histograms.delete(key);
      this.#tableVersion += 1;
    }
  }
}

/** Mixes the distributions of the kinds of a step, from general to specific. */
const computeEstimate = (
  { keys, baseMs }: DurationKind,
  histograms: readonly (DurationHistogram | undefined)[],
): DurationEstimate => {
  let summary = declared;
  let level: DurationLevel = 'declared';
  keys.forEach((each, index) => {
    const histogram = histograms[index];
    if (histogram === undefined) return;
    const share = histogram.weight / (histogram.weight + generalWeight);
    summary = mix(summary, histogram.summarize(summary), share);
    if (share >= 0.5) level = each.level;
  });
  const medianMs = Math.max(minDurationMs, baseMs * Math.exp(summary.median));
  const stepVariance = summary.deviation ** 2 - StepDuration.taskVariance;
  return {
    medianMs,
    tailMs: Math.max(medianMs, baseMs * Math.exp(summary.tail)),
    stepVariance: Math.max(minStepVariance, stepVariance),
    level,
  };
};

const mix = (general: DurationSummary, own: DurationSummary, share: number): DurationSummary => ({
  median: general.median + (own.median - general.median) * share,
  tail: general.tail + (own.tail - general.tail) * share,
  deviation: general.deviation + (own.deviation - general.deviation) * share,
});

/**
 * Computes the weight of a run. The tasks of a step share the error of its declaration, so those of a wide step count
 * less. The end of a gang is recorded once, but a run that was cut short is recorded for each member.
 */
const computeWeight = ({ description, tasks }: StepInstance, isCutShort: boolean): number => {
  if (description.isGang !== true) return 1 / Math.sqrt(tasks.length);
  return isCutShort ? 1 / tasks.length : 1;
};

/**
 * Finds the logarithm of the duration factor of a run: a gang runs at the speed of its slowest worker, and that of an
 * opportunistic task depends on what others leave idle.
 */
const findSharedLogFactor = ({ step, worker }: Task): number => {
  const { isGang, isOpportunistic } = step.description;
  if (isOpportunistic === true) return 0;
  if (isGang !== true) return worker?.speed.logDurationFactor ?? 0;
  return step.tasks.reduce(
    (max, task) => Math.max(max, task.worker?.speed.logDurationFactor ?? max),
    -Infinity,
  );
};

/** Describes the bins with weights of at least 0.01, so that stored numbers are short. */
const describeBins = (
  histogram: DurationHistogram,
): DurationRecord['kinds'][number]['bins'][number][] =>
  [...histogram.bins].flatMap(([bin, weights]) => {
    const ended = Math.round(weights.ended * 100) / 100;
    const cutShort = Math.round(weights.cutShort * 100) / 100;
    if (ended === 0 && cutShort === 0) return [];
    return [{ bin, ...(ended > 0 && { ended }), ...(cutShort > 0 && { cutShort }) }];
  });
