/** Keys of toucanline in the platform's store. */
export const storeKeys = Object.freeze({
  /** Prefix of the election keys: the holder and the term. */
  electionPrefix: 'toucanline/lead/',
  /** Record of the leader, attached to its lease. */
  holder: 'toucanline/lead/holder',
  /** Number of the latest term; never removed. */
  term: 'toucanline/lead/term',
  /** Prefix of the records of accepted jobs. */
  jobPrefix: 'toucanline/job/',
  /** Prefix of the progress of jobs. */
  progressPrefix: 'toucanline/progress/',
  /** Roster: workers to which the leader sends commands. */
  roster: 'toucanline/roster',
  /** Workers of the roster that receive neither commands nor leases. */
  suspensions: 'toucanline/suspensions',
  /** Placements: which tasks run on which worker. Replaced by each write of progress, which serializes these writes. */
  placements: 'toucanline/placements',
});
