import type { ClaimState } from '@toucanline/core';
import type { Claim } from '@toucanline/schema';
import type { OwnershipBasis } from './OwnershipBasis.js';

/** Ownership of a shard by this process: its claim, its basis and its callbacks. */
export interface Ownership {
  readonly claim: Claim;
  readonly basis: OwnershipBasis;
  /** Returns the current state of the claim and its store lease. */
  readonly readClaimState: () => ClaimState;
  /** Returns the local monotonic time before the last contact of an owner with the store, in milliseconds. */
  readonly readLastContactAt: () => number;
  /** Called once requests may be submitted. */
  readonly onServing: () => void;
  /** Called once the ownership is lost, with the reason and the highest epoch that is known. */
  readonly onLost: (detail: string, epoch: number) => void;
}
