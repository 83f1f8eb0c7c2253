import { createFailure, periods } from '@toucanline/core';
import type { Failure } from '@toucanline/schema';

/** Time within which each entry has handed in what it holds to a new owner, in milliseconds. */
const resubmissionTimeoutMs = 10_000;

/** What an owner knows about the requests of its shard. */
interface OwnerKnowledge {
  readonly epoch: number;
  /** Time since which it takes requests, in milliseconds. */
  readonly servedMs: number;
  /** Whether it read the journal of the earlier owners. */
  readonly hasJournal: boolean;
}

/**
 * Explains to a caller that the owner of a shard has no record of a request. The first owner of a shard knows
 * each request until its record expires. A later one cannot tell a request that was lost from one that never
 * was, so it does not say that there is no such request.
 *
 * @param failure - why the owner does not show the request
 * @param knowledge - what the owner knows
 * @returns `timeout` while the request may still turn up; `recordMissing` if it may have been lost;
 * otherwise the failure as it is
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
  const detail = 'no record is left: it expired, or was lost before it was durable, or never was';
  return createFailure('recordMissing', `${failure.detail}: ${detail}`);
};
