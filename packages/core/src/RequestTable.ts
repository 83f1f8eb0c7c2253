import type { Request } from '@toucanline/schema';
import type { RequestRecord } from './RequestRecord.js';

const createKeyName = (team: string, key: string): string => `${team}\n${key}`;

/** All requests that a shard knows, by id and by idempotency key. */
export class RequestTable {
  readonly #records = new Map<string, RequestRecord>();
  readonly #byKey = new Map<string, RequestRecord>();
  readonly #open = new Set<RequestRecord>();
  /** Finished requests by the time at which their end was noted. */
  readonly #finished = new Set<RequestRecord>();

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
    const former = this.#records.get(id);
    if (former !== undefined) this.remove(former);
    this.#records.set(id, record);
    this.#open.add(record);
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
    this.#open.delete(record);
    this.#finished.delete(record);
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

  /**
   * Lists the requests that have not finished. Retention keeps many more that have, so work that is
   * repeated often walks only these.
   *
   * @returns the requests in the order of their arrival here
   */
  public *listOpen(): Generator<RequestRecord> {
    for (const record of this.#open) {
      if (!record.isFinished) yield record;
      else {
        this.#open.delete(record);
        this.#finished.add(record);
      }
    }
  }

  /**
   * Lists the finished requests that a walk over the open ones met before.
   *
   * @returns the requests by the time of their end
   */
  public listFinished(): IterableIterator<RequestRecord> {
    return this.#finished.values();
  }
}
