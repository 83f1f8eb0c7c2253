/**
 * What the holder of a claim knows about it. `confirmed`: the store lease is certainly valid.
 * `unreachable`: the lease may have expired, and the store did not answer a renewal since.
 * `unsettled`: the lease may have expired, and no renewal was tried since, for example after a pause.
 */
export type ClaimState = 'confirmed' | 'unreachable' | 'unsettled';
