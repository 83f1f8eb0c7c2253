import type { Failure } from '@toucanline/schema';

type FailureKinds = ReadonlySet<Failure['kind']>;

const rejected: FailureKinds = new Set(['notOwner', 'noOwner', 'overloaded', 'notReady']);
const indeterminate: FailureKinds = new Set(['linkLost', 'timeout']);

/** Failure kinds of calls to the owner of a shard, grouped by what they mean for the entry. */
export const ownerFailures = {
  /** Failures that prove that the shard does not hold the request, so that another shard may accept it. */
  rejected,
  /** Failures after which the shard may hold the request. */
  indeterminate,
  /** Failures after which a retry may succeed, at the same owner or at its successor. */
  retryable: new Set([...rejected, ...indeterminate]) as FailureKinds,
  /** Failures that end once a new owner serves the shard. */
  duringFailover: new Set(['notOwner', 'notReady']) as FailureKinds,
  /** Failures of an owner that has no record of the request. */
  unknownToOwner: new Set(['unknownRequest', 'recordMissing']) as FailureKinds,
} as const;
