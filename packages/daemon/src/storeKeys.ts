/** Keys of toucanline in the platform's store. */
export const storeKeys = Object.freeze({
  /** Prefix of the election keys: the holder, the term and the greatest fitness. */
  electionPrefix: 'toucanline/lead/',
  /** Record of the leader, attached to its lease. */
  holder: 'toucanline/lead/holder',
  /** Number of the latest term; never removed. */
  term: 'toucanline/lead/term',
  /** Greatest fitness of any host that has taken part in the election; never removed. */
  bestFitness: 'toucanline/lead/fitness',
  /** Prefix of the records of accepted jobs. */
  jobPrefix: 'toucanline/job/',
  /** Prefix of the progress of jobs. */
  progressPrefix: 'toucanline/progress/',
  /** Roster: workers to which the leader sends commands. */
  roster: 'toucanline/roster',
  /** Workers of the roster that receive neither commands nor leases. */
  suspensions: 'toucanline/suspensions',
  /** Services on whose workers tasks of each queue may run. */
  queueServices: 'toucanline/queue-services',
  /** Resources in use by worker and account, and the speeds of workers. */
  placements: 'toucanline/placements',
  /** Learned durations by kind of work. */
  durations: 'toucanline/durations',
  /** Replaced by each write of progress on condition of its revision, which serializes these writes. */
  progressOrder: 'toucanline/progress-order',
});
