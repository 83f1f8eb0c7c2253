/**
 * Outcome of a call of the store: it succeeds; it takes effect but the response is lost; the
 * response is late; the caller times out and it takes effect later; or it fails and has no effect.
 */
export type StoreCallOutcome = 'done' | 'lostAnswer' | 'lateAnswer' | 'lateEffect' | 'down';
