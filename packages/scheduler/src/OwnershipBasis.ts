/**
 * Basis of an ownership: `claimed`, a claim in the store; `handedOver`, a handover by the previous owner, which has
 * stopped acting, while the store did not answer; `provisional`, the leases of the workers alone.
 */
export type OwnershipBasis = 'claimed' | 'handedOver' | 'provisional';
