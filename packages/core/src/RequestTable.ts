import type { Request } from '@toucanline/schema';
import type { RequestRecord } from './RequestRecord.js';

const createKeyName = (team: string, key: string): string => `${team}\n${key}`;

/** All requests that a shard knows, by id and by idempotency key. */
export class RequestTable {
  readonly #records = new Map<string, RequestRecord>();
  readonly #byKey = new Map<string, RequestRecord>();

  /** Number of known requests. */
  public get size(): number {
    return this.#records.size;
  }

  /**
   * Adds a request.
   *
   * @param record - the request
   */
  public add(record: RequestRecord): void {
    const { id, team, idempotencyKey } = record.request;
    this.#records.set(id, record);
    if (idempotencyKey !== undefined) this.#byKey.set(createKeyName(team, idempotencyKey), record);
  }

  /**
   * Removes a request.
   *
   * @param record - the request
   */
  public remove(record: RequestRecord): void {
    const { id, team, idempotencyKey } = record.request;
    this.#records.delete(id);
    if (idempotencyKey === undefined) return;
    const name = createKeyName(team, idempotencyKey);
    if (this.#byKey.get(name) === record) this.#byKey.delete(name);
  }

  /**
   * Finds a request by id.
   *
   * @param id - identifier of the request
   * @returns the request, if known
   */
  public find(id: string): RequestRecord | undefined {
    return this.#records.get(id);
  }

  /**
   * Finds the request that a repeat belongs to: the same id, or the same team and idempotency key.
   *
   * @param request - the request that arrived
   * @returns the earlier request, if known
   */
  public findEarlier(request: Request): RequestRecord | undefined {
    const sameId = this.#records.get(request.id);
    if (sameId !== undefined || request.idempotencyKey === undefined) return sameId;
    return this.#byKey.get(createKeyName(request.team, request.idempotencyKey));
  }

  /**
   * Lists all requests.
   *
   * @returns the requests in the order of their arrival here
   */
  public list(): IterableIterator<RequestRecord> {
    return this.#records.values();
  }
}
