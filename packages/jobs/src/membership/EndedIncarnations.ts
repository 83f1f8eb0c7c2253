/** Number of names that are kept: several restarts of each worker of a large site. */
const maxCount = 4096;

/**
 * Worker incarnations that are known to have ended, so that their entries are ignored. Only the latest ones are kept. A
 * late entry of an older one leads to a survey, which shows the incarnation that runs.
 */
export class EndedIncarnations {
  /** Names in the order in which they were added. */
  readonly #names = new Set<string>();

  /**
   * Adds an incarnation, and removes the oldest one if there are too many.
   *
   * @param name - name of an incarnation that has ended
   */
  public add(name: string): void {
    this.#names.delete(name);
    this.#names.add(name);
    if (this.#names.size <= maxCount) return;
    const [oldest] = this.#names;
    if (oldest !== undefined) this.#names.delete(oldest);
  }

  /**
   * Removes an incarnation.
   *
   * @param name - name of an incarnation that has answered a request that was sent after its supposed end
   */
  public remove(name: string): void {
    this.#names.delete(name);
  }

  /**
   * Checks whether an incarnation has ended.
   *
   * @param name - name of the incarnation
   * @returns whether it is known to have ended
   */
  public has(name: string): boolean {
    return this.#names.has(name);
  }
}
