import type { JobState } from '@toucanline/schema';

/** Queries of a host to the leader. A result of `undefined` means that the leader did not answer. */
export abstract class LeaderClient {
  /**
   * Finds the state of a job.
   *
   * @param id - job id
   * @returns its state; `unknown` if the leader does not know the job; undefined if the leader did not answer
   */
  public abstract findState(id: string): Promise<JobState | 'unknown' | undefined>;

  /**
   * Notifies the leader of an accepted job. The notification may be lost: the leader also watches the stored jobs.
   *
   * @param key - key of the job in the store
   * @param value - stored job record, as JSON
   * @param revision - store revision of the record
   */
  public abstract announceJob(key: string, value: string, revision: number): void;

  /**
   * Counts the jobs of a queue that have not started.
   *
   * @param queue - queue name
   * @returns the number of jobs; undefined if the leader did not answer
   */
  public abstract countWaiting(queue: string): Promise<number | undefined>;
}
