/** Seconds after which a refused caller may come back: the store or a new leader is usually back by then. */
export const retryAfterSeconds = 1;
