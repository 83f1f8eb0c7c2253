import type { DurationEstimate } from './DurationEstimate.js';
import type { DurationHistogram } from './DurationHistogram.js';
import type { DurationKind } from './DurationKind.js';

/** Share by which the number of runs of a distribution may grow before an estimate is made anew. */
const reusableGrowth = 0.02;
/** The same as a number of runs: a tenth of those whose weight counts. */
const maxReusedRuns = 20;

/** Estimate for the kinds of one step, kept until enough further runs are known: each pass needs that of all steps. */
export class KindEstimate {
  /** Kinds of the step. */
  public readonly kind: DurationKind;
  #histograms: readonly (DurationHistogram | undefined)[] = [];
  #runCounts: readonly number[] = [];
  #tableVersion = -1;
  #estimate: DurationEstimate | undefined;

  /** @param kind - kinds of the step */
  public constructor(kind: DurationKind) {
    this.kind = kind;
  }

  /**
   * Returns the estimate, and makes it anew if needed.
   *
   * @param tableVersion - changes whenever distributions are added or removed
   * @param find - finds a distribution by the key of its kind
   * @param compute - makes an estimate from the distributions of the kinds, from general to specific
   * @returns the estimate
   */
  public get(
    tableVersion: number,
    find: (key: string) => DurationHistogram | undefined,
    compute: (
      kind: DurationKind,
      histograms: readonly (DurationHistogram | undefined)[],
    ) => DurationEstimate,
  ): DurationEstimate {
    if (tableVersion !== this.#tableVersion) {
      this.#histograms = this.kind.keys.map(({ key }) => find(key));
      this.#tableVersion = tableVersion;
      this.#estimate = undefined;
    }
    if (this.#estimate !== undefined && this.#isReusable()) return this.#estimate;
    this.#runCounts = this.#histograms.map((histogram) => histogram?.runCount ?? 0);
    this.#estimate = compute(this.kind, this.#histograms);
    return this.#estimate;
  }

  #isReusable(): boolean {
    for (let index = 0; index < this.#histograms.length; index += 1) {
      const before = this.#runCounts[index] ?? 0;
      const added = (this.#histograms[index]?.runCount ?? 0) - before;
      if (added > Math.min(maxReusedRuns, before * reusableGrowth)) return false;
    }
    return true;
  }
}
