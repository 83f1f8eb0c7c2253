/** Most specific kind of work on which an estimate mostly rests; `declared`: too few runs are known. */
export type DurationLevel = 'declared' | 'queue' | 'size' | 'account';
