/**
 * What the holder of a claim knows about it.
 *
 * - `confirmed`: the store lease is certainly valid.
 * - `unreachable`: the lease may have expired, and the store has not answered a renewal since then.
 * - `unsettled`: the lease may have expired, and no renewal was attempted since then, for example after a
 *   pause of the process.
 */
export type ClaimState = 'confirmed' | 'unreachable' | 'unsettled';
