/** Keys of the product in the platform's store. */
export const storeKeys = Object.freeze({
  /** Prefix of the election: the holder and the term. */
  electionPrefix: 'toucanline/lead/',
  /** The leader, under its lease. */
  holder: 'toucanline/lead/holder',
  /** Number of the last term; never removed. */
  term: 'toucanline/lead/term',
  /** Prefix of accepted jobs. */
  jobPrefix: 'toucanline/job/',
  /** Prefix of the progress of jobs. */
  progressPrefix: 'toucanline/progress/',
  /** Workers to which the leader gives orders. */
  roster: 'toucanline/roster',
  /** Workers of the roster that get neither orders nor leases. */
  suspensions: 'toucanline/suspensions',
  /** Written with each progress: orders the leader's writes, and says what runs where. */
  placements: 'toucanline/placements',
});
