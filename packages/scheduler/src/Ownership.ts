import type { ClaimState } from '@toucanline/core';
import type { Claim } from '@toucanline/schema';
import type { OwnershipBasis } from './OwnershipBasis.js';

/** The right by which a process acts as the owner. */
export interface Ownership {
  readonly claim: Claim;
  readonly basis: OwnershipBasis;
  /** Reads what is known about the store lease at this moment. */
  readonly readClaimState: () => ClaimState;
  /** Reads the local monotonic time before the last contact of an owner with the store. */
  readonly readLastContactAt: () => number;
  /** Called once requests may be submitted. */
  readonly onServing: () => void;
  /** Called once a worker proves that it accepted another owner. */
  readonly onLost: (detail: string, epoch: number) => void;
}
