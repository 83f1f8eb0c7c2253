import type { Worker } from '../Worker.js';

/**
 * Data centres that the operator has evacuated, as the leader last read them from the store. Nothing starts on their
 * workers; what runs there continues.
 */
export class Evacuations {
  readonly #dataCentres = new Set<string>();
  #changeCount = 0;
  #isConfirmed = true;

  /** Names of the evacuated data centres. */
  public get dataCentres(): ReadonlySet<string> {
    return this.#dataCentres;
  }

  /** Number of evacuations that have begun or ended. */
  public get changeCount(): number {
    return this.#changeCount;
  }

  /**
   * Whether the list of data centres is recent enough for starts. Without a bound for evacuations it always is.
   * Otherwise the host decides, because the age depends on its clocks.
   */
  public get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /**
   * Sets whether the list of data centres is recent enough for starts.
   *
   * @param isConfirmed - false if a data centre may have been evacuated without this leader knowing it
   */
  public setConfirmed(isConfirmed: boolean): void {
    this.#isConfirmed = isConfirmed;
  }

  /**
   * Begins the evacuation of a data centre.
   *
   * @param dataCentre - name of the data centre
   * @returns false if it was evacuated already
   */
  public begin(dataCentre: string): boolean {
    if (this.#dataCentres.has(dataCentre)) return false;
    this.#dataCentres.add(dataCentre);
    this.#changeCount += 1;
    return true;
  }

  /**
   * Ends the evacuation of a data centre.
   *
   * @param dataCentre - name of the data centre
   * @returns false if it was not evacuated
   */
  public end(dataCentre: string): boolean {
    if (!this.#dataCentres.delete(dataCentre)) return false;
    this.#changeCount += 1;
    return true;
  }

  /**
   * Checks whether a worker is in an evacuated data centre.
   *
   * @param worker - worker to check
   * @returns whether nothing may start there
   */
  public covers({ entry }: Pick<Worker, 'entry'>): boolean {
    return this.#dataCentres.has(entry.dataCentre);
  }
}
