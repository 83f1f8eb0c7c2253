import type { Request } from '@toucanline/schema';
import type { RequestRecord } from './RequestRecord.js';

const createDeduplicationKey = (team: string, key: string): string => `${team}\n${key}`;

/** All requests that a shard owner knows, by id and by idempotency key. */
export class RequestTable {
  readonly #records = new Map<string, RequestRecord>();
  readonly #byDeduplicationKey = new Map<string, RequestRecord>();
  /**
   * Requests by the ids of their duplicates, which a previous owner may have returned to callers.
   */
  readonly #aliases = new Map<string, RequestRecord>();
  readonly #aliasIds = new Map<RequestRecord, readonly string[]>();
  readonly #open = new Set<RequestRecord>();
  /** Finished requests in the order in which {@link RequestTable.listOpen} found them finished. */
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
    const previous = this.#records.get(id);
    if (previous !== undefined) this.remove(previous);
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
   * @param id - identifier of the request or of a duplicate
   * @returns the request; undefined if it is unknown
   */
  public find(id: string): RequestRecord | undefined {
    return this.#records.get(id) ?? this.#aliases.get(id);
  }

  /**
   * Finds the request that a reported task belongs to. A worker may report a task of an earlier
   * request with the same idempotency key if this owner accepted the duplicate before the report.
   *
   * @param request - the request as the task carries it
   * @returns the request, which is also found by the reported id from then on; undefined if it is
   * unknown
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
   * Adds another id under which a request is found.
   *
   * @param id - id of a duplicate, or of the original request if the duplicate was known before it
   * @param record - the request
   */
  public addAlias(id: string, record: RequestRecord): void {
    if (this.find(id) !== undefined) return;
    this.#aliases.set(id, record);
    this.#aliasIds.set(record, [...(this.#aliasIds.get(record) ?? []), id]);
  }

  /**
   * Finds the original of a duplicate request: the request with the same id, or with the same team
   * and idempotency key.
   *
   * @param request - the request that arrived
   * @returns the original request; undefined if there is none
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
   * @returns the requests in the order in which they were added
   */
  public list(): IterableIterator<RequestRecord> {
    return this.#records.values();
  }

  /**
   * Lists the requests that have not finished. Finished requests are retained and far more
   * numerous, so frequent work iterates over the open requests only.
   *
   * @returns the requests in the order in which they were added
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
   * Lists the finished requests that an iteration over the open requests has encountered.
   *
   * @returns the requests in the order in which they were found finished
   */
  public listFinished(): IterableIterator<RequestRecord> {
    return this.#finished.values();
  }
}
