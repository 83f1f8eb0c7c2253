import type { Failure } from '@toucanline/schema';

type FailureKinds = ReadonlySet<Failure['kind']>;

const passedOn: FailureKinds = new Set(['notOwner', 'noOwner', 'overloaded', 'notReady']);
const undecided: FailureKinds = new Set(['linkLost', 'timeout']);

/** What failures of a call to the owner of a shard mean for the entry. */
export const ownerFailures = {
  /** Failures that prove that the shard does not hold the request, so that another may take it. */
  passedOn,
  /** Failures after which the shard may hold the request. */
  undecided,
  /** Failures after which the same or the next owner may answer. */
  retryable: new Set([...passedOn, ...undecided]) as FailureKinds,
  /** Failures that end once a new owner serves the shard. */
  duringFailover: new Set(['notOwner', 'notReady']) as FailureKinds,
  /** Failures of an owner that has no record of a request. */
  unknownToOwner: new Set(['unknownRequest', 'recordMissing']) as FailureKinds,
} as const;
