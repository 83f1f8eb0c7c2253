import type { Request } from '@toucanline/schema';
import type { RequestRecord } from './RequestRecord.js';

const createDeduplicationKey = (team: string, key: string): string => `${team}\n${key}`;

/** All requests that a shard knows, by id and by idempotency key. */
export class RequestTable {
  readonly #records = new Map<string, RequestRecord>();
  readonly #byDeduplicationKey = new Map<string, RequestRecord>();
  /** Requests by the ids of their repeats, which an earlier owner may have told callers. */
  readonly #aliases = new Map<string, RequestRecord>();
  readonly #aliasIds = new Map<RequestRecord, readonly string[]>();
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
    if (idempotencyKey !== undefined)
      this.#byDeduplicationKey.set(createDeduplicationKey(team, idempotencyKey), record);
  }

  /**
   * Removes a request.
   *
   * @param record - the request
   */
  public remove(record: RequestRecord): void {
    const { id, team, idempotencyKey } = record.request;
    this.#records.delete(id);
    for (const repeat of this.#aliasIds.get(record) ?? []) this.#aliases.delete(repeat);
    this.#aliasIds.delete(record);
    this.#open.delete(record);
    this.#finished.delete(record);
    if (idempotencyKey === undefined) return;
    const name = createDeduplicationKey(team, idempotencyKey);
    if (this.#byDeduplicationKey.get(name) === record) this.#byDeduplicationKey.delete(name);
  }

  /**
   * Finds a request by id.
   *
   * @param id - identifier of the request or of a repeat
   * @returns the request, if known
   */
  public find(id: string): RequestRecord | undefined {
    return this.#records.get(id) ?? this.#aliases.get(id);
  }

  /**
   * Finds the request that a reported task belongs to. A worker may report a task of an earlier request
   * with the same idempotency key, if this owner took the repeat before it heard of the earlier one.
   *
   * @param request - the request as the task carries it
   * @returns the request, if known; its repeat is found by its own id from then on
   */
  public findReported(request: Request): RequestRecord | undefined {
    const known = this.find(request.id);
    const { team, idempotencyKey, digest, queue } = request;
    if (known !== undefined || idempotencyKey === undefined) return known;
    const repeat = this.#byDeduplicationKey.get(createDeduplicationKey(team, idempotencyKey));
    const isSame = repeat?.request.digest === digest && repeat.request.queue === queue;
    if (repeat === undefined || !isSame) return undefined;
    this.addAlias(request.id, repeat);
    return repeat;
  }

  /**
   * Notes a further id of a request.
   *
   * @param id - id of a repeat, or of the first request if the repeat was known before
   * @param record - the request
   */
  public addAlias(id: string, record: RequestRecord): void {
    if (this.find(id) !== undefined) return;
    this.#aliases.set(id, record);
    this.#aliasIds.set(record, [...(this.#aliasIds.get(record) ?? []), id]);
  }

  /**
   * Finds the request that a repeat belongs to: the same id, or the same team and idempotency key.
   *
   * @param request - the request that arrived
   * @returns the earlier request, if known
   */
  public findOriginal(request: Request): RequestRecord | undefined {
    const sameId = this.find(request.id);
    if (sameId !== undefined || request.idempotencyKey === undefined) return sameId;
    return this.#byDeduplicationKey.get(
      createDeduplicationKey(request.team, request.idempotencyKey),
    );
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
