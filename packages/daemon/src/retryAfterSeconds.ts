/** Seconds after which a refused caller may retry: by then the store or a new leader is usually available. */
export const retryAfterSeconds = 1;
