import type { AccountConfiguration, JobTerms, QueueConfiguration } from '@toucanline/schema';

/**
 * Creates the terms of a job: the settings in effect when it is accepted.
 *
 * @param queue - queue of the job
 * @param account - account of the job; undefined on an open queue, to which no cap and no rate applies
 * @returns terms for the record of the job
 */
export const createJobTerms = (
  { service, priority, maxAttempts, stretch, objectiveMs, advice }: QueueConfiguration,
  account: AccountConfiguration | undefined,
): JobTerms => ({
  service,
  priority,
  maxAttempts,
  stretch,
  objectiveMs,
  ...(advice === undefined ? {} : { advice }),
  weight: account?.weight ?? 1,
  ...(account?.cap === undefined ? {} : { cap: account.cap }),
});
