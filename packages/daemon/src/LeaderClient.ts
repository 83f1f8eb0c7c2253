import type { JobState } from '@toucanline/schema';

/** What hosts ask the leader. `undefined` as the outcome means that the leader did not answer. */
export abstract class LeaderClient {
  /**
   * Asks for the state of a job.
   *
   * @param id - the job
   * @returns its state, `unknown` if the leader does not know it, or undefined without an answer
   */
  public abstract findState(id: string): Promise<JobState | 'unknown' | undefined>;

  /**
   * Tells the leader of an accepted job. Nothing depends on it: the leader's watch shows the job as well.
   *
   * @param key - key of the job in the store
   * @param value - stored value
   * @param revision - revision of the store
   */
  public abstract announceJob(key: string, value: string, revision: number): void;

  /**
   * Asks how many jobs of a queue have not begun.
   *
   * @param queue - name of the queue
   * @returns their number, or undefined without an answer
   */
  public abstract countWaiting(queue: string): Promise<number | undefined>;
}
