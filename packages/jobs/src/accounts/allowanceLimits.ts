/** Sizes and times of the allowances of accounts with a cap. */
export const allowanceLimits = Object.freeze({
  /**
   * Allowance relative to the demand: a quarter of headroom lets most starts of a growing account go without waiting for
   * a write.
   */
  headroomFactor: 1.25,
  /**
   * Steps of the allowance as a share of the cap, so that small changes of the demand cause no writes. One step is also
   * the smallest allowance, with which an idle account starts small steps at once.
   */
  levelShare: 1 / 8,
  /**
   * Time in milliseconds for which an allowance is held after the demand has fallen: the pauses between the steps of
   * one job, or between the jobs of a steady caller, are mostly shorter.
   */
  holdMs: 3000,
  /**
   * Interval in milliseconds at which all allowances are adapted to the demand. Summing the demand of 2,000 jobs took
   * 0.5 ms, which not every planning pass should spend.
   */
  fullUpdateIntervalMs: 100,
});
