import type { JobState } from '@toucanline/schema';

/** What hosts ask the leader. `undefined` as the outcome means that the leader did not answer. */
export abstract class LeaderView {
  /**
   * Asks for the state of a job.
   *
   * @param id - the job
   * @returns its state, `unknown` if the leader does not know it, or undefined without an answer
   */
  public abstract findState(id: string): Promise<JobState | 'unknown' | undefined>;

  /**
   * Asks how many jobs of a queue have not begun.
   *
   * @param queue - name of the queue
   * @returns their number, or undefined without an answer
   */
  public abstract countWaiting(queue: string): Promise<number | undefined>;
}
