import { createFailure, periods } from '@toucanline/core';
import type { Failure } from '@toucanline/schema';

/** Time in which each entry resubmits to a new owner the requests that it holds. */
const resubmissionTimeoutMs = 10_000;

/** Facts that decide whether an owner knows all requests of its shard. */
interface OwnerKnowledge {
  readonly epoch: number;
  /** Time for which the owner has accepted requests, in milliseconds. */
  readonly servedMs: number;
  /** Whether the owner has read the journal of the previous owners. */
  readonly hasJournal: boolean;
}

/**
 * Chooses the failure for a request of which the owner of a shard has no record. The first owner of a shard knows
 * each request until its record expires. A later owner cannot distinguish a lost request from one that never existed,
 * so it does not reply that the request is unknown.
 *
 * @param failure - failure of reading the request
 * @param knowledge - epoch of the owner, and what it has read and received
 * @returns `timeout` while the request may still be resubmitted or read from the journal; `recordMissing` if it may
 * have been lost; otherwise the failure unchanged
 */
export const explainUnknownRequest = (
  failure: Failure,
  { epoch, servedMs, hasJournal }: OwnerKnowledge,
): Failure => {
  if (failure.kind !== 'unknownRequest') return failure;
  const isFirst = epoch <= 1;
  if (isFirst && servedMs < periods.retentionMs) return failure;
  if (!isFirst && (servedMs < resubmissionTimeoutMs || !hasJournal)) {
    return createFailure('timeout', 'the new owner of the shard may not know the request yet', 1);
  }
  const detail = 'no record exists: it expired, was lost before it was durable, or never existed';
  return createFailure('recordMissing', `${failure.detail}: ${detail}`);
};
