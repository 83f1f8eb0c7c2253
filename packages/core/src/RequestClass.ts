import type { RequestRecord } from './RequestRecord.js';

/**
 * Waiting requests that are equal for placement. If the first one does not fit, none does, so that a
 * blocked class is tested once per change of the fleet.
 */
export class RequestClass {
  public readonly name: string;
  public readonly team: string;
  public readonly urgent: boolean;
  readonly #records = new Set<RequestRecord>();
  #blockedAt = -1;

  /**
   * @param name - name of the class
   * @param record - its first request
   */
  public constructor(name: string, record: RequestRecord) {
    this.name = name;
    this.team = record.request.team;
    this.urgent = record.request.urgent;
  }

  /** Number of waiting requests. */
  public get size(): number {
    return this.#records.size;
  }

  /**
   * Adds a request behind the others.
   *
   * @param record - the request
   */
  public add(record: RequestRecord): void {
    this.#records.add(record);
  }

  /**
   * Removes a request.
   *
   * @param record - the request
   */
  public remove(record: RequestRecord): void {
    this.#records.delete(record);
  }

  /**
   * Lists the waiting requests.
   *
   * @returns the requests, oldest first
   */
  public list(): readonly RequestRecord[] {
    return [...this.#records];
  }

  /**
   * Finds the oldest request that may start.
   *
   * @param now - local monotonic time in milliseconds
   * @returns the request; undefined if all wait for a retry delay
   */
  public findFirst(now: number): RequestRecord | undefined {
    for (const record of this.#records) if (record.notBefore <= now) return record;
    return undefined;
  }

  /**
   * Notes that the class does not fit.
   *
   * @param version - version of fleet and limits
   */
  public block(version: number): void {
    this.#blockedAt = version;
  }

  /**
   * Checks whether the class is known not to fit.
   *
   * @param version - version of fleet and limits
   * @returns true if nothing changed since it did not fit
   */
  public isBlocked(version: number): boolean {
    return this.#blockedAt === version;
  }
}
