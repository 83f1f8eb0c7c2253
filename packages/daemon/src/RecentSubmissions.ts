/** Number of submissions that are remembered: at 100 a second those of 40 s, longer than callers repeat one. */
const maxSubmissions = 4096;

/** What this host knows about a submission: the job is stored, or an attempt may be stored or still be pending. */
type SubmissionOutcome = 'accepted' | 'unknown';

/** Outcomes of recent submissions at this host, for repeated ones that arrive while the store does not answer. */
export class RecentSubmissions {
  readonly #outcomes = new Map<string, SubmissionOutcome>();

  /**
   * Finds the outcome of the last attempt of a submission.
   *
   * @param id - id of the job
   * @returns the outcome; undefined if there was no attempt here, or if it was certainly not accepted
   */
  public find(id: string): SubmissionOutcome | undefined {
    return this.#outcomes.get(id);
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param id - id of the job
   * @param outcome - outcome; undefined if the job was certainly not accepted
   */
  public record(id: string, outcome: SubmissionOutcome | undefined): void {
    this.#outcomes.delete(id);
    if (outcome === undefined) return;
    this.#outcomes.set(id, outcome);
    const [oldest] = this.#outcomes.keys();
    if (this.#outcomes.size > maxSubmissions && oldest !== undefined) this.#outcomes.delete(oldest);
  }
}
