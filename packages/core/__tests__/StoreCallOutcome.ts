/**
 * What happens to a call of the store: it works; it takes effect without an answer; it answers later;
 * the caller gives up and it takes effect later; or it certainly does nothing.
 */
export type StoreCallOutcome = 'done' | 'lostAnswer' | 'lateAnswer' | 'lateEffect' | 'down';
