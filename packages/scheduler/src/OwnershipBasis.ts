/**
 * What an ownership rests on: `claimed` on a claim in the store; `handedOver` on the word of the former owner that it
 * stopped to act, while the store did not answer; `provisional` on the leases of the workers alone.
 */
export type OwnershipBasis = 'claimed' | 'handedOver' | 'provisional';
