import type { IncomingMessage } from 'node:http';
import { HttpFake } from './HttpFake.js';
import { readJson } from './readJson.js';
import { sleep } from './sleep.js';

/** A key-value pair with the revision that wrote it and its lease; 0 without a lease. */
interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Rev: number;
  readonly Lease: number;
}

/** Record of the removal of a key. */
interface Tombstone {
  readonly Key: string;
  readonly Rev: number;
  readonly Tombstone: true;
}

/** Body of a transaction: expected revisions, keys to write and keys to remove. */
interface Transaction {
  readonly ExpectedRev?: readonly { readonly Key: string; readonly Rev: number }[];
  readonly SetKeys?: readonly {
    readonly Key: string;
    readonly Value: string;
    readonly Lease?: number;
  }[];
  readonly Remove?: readonly string[];
}

type JsonResponse = Awaited<ReturnType<HttpFake['handle']>>;

/** A fake of the users' key-value store: transactions, leases, watches and a history that can be compacted. */
export class PlatformStoreFake extends HttpFake {
  readonly #items = new Map<string, Item>();
  readonly #leases = new Map<number, { readonly ttlMs: number; endsAt: number }>();
  readonly #expiryTimer: NodeJS.Timeout;
  #history: (Item | Tombstone)[] = [];
  #revision = 1;
  #nextLease = 1;
  /** Revision up to which the history was dropped. */
  #compactedRevision = 0;

  public constructor() {
    super();
    this.#expiryTimer = setInterval(() => {
      this.#expireLeases();
    }, 20);
  }

  /** {@inheritDoc HttpFake.stop} */
  public override stop(): void {
    clearInterval(this.#expiryTimer);
    super.stop();
  }

  /**
   * Writes a value directly, in place of the operator or a worker.
   *
   * @param key - the key
   * @param value - value to encode as JSON
   */
  public put(key: string, value: unknown): void {
    this.putBytes(key, Buffer.from(JSON.stringify(value)));
  }

  /**
   * Writes bytes that need not be a valid value, in place of another writer.
   *
   * @param key - the key
   * @param bytes - bytes to write
   */
  public putBytes(key: string, bytes: Buffer): void {
    this.#revision += 1;
    this.#writeItem(key, bytes.toString('base64'), 0);
  }

  /**
   * Reads a value.
   *
   * @param key - the key
   * @returns decoded value; undefined if the key does not exist
   */
  public get(key: string): unknown {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.Value, 'base64').toString('utf8'));
  }

  /**
   * Removes a key.
   *
   * @param key - the key
   */
  public remove(key: string): void {
    this.#revision += 1;
    this.#deleteItem(key);
  }

  /** Drops the history, so that watches from earlier revisions are refused. */
  public compact(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
  }

  protected override async handle(request: IncomingMessage): Promise<JsonResponse> {
    const url = new URL(request.url ?? '', this.url);
    const query = url.searchParams;
    const [, call = '', id = ''] = url.pathname.split('/');
    switch (call) {
      case 'kv-key':
        return this.#readItem(query.get('Key') ?? '');
      case 'kv-range':
        return { status: 200, body: this.#listItems(query.get('Prefix') ?? '') };
      case 'kv-watch':
        return this.#watchPrefix(query);
      case 'kv-txn':
        return this.#commitTransaction((await readJson(request)) as Transaction);
      case 'kv-lease':
        return this.#grantLease((await readJson(request)) as { readonly TtlMs: number });
      case 'kv-keep':
        await readJson(request);
        return this.#renewLease(Number(id));
      case 'kv-lease-end':
        return this.#endLease(Number(id));
      default:
        return { status: 404, body: {} };
    }
  }

  protected override openStream(): undefined {
    return undefined;
  }

  #readItem(key: string): JsonResponse {
    const item = this.#items.get(key);
    if (item === undefined) return { status: 404, body: { AsOf: this.#revision } };
    return { status: 200, body: { ...item, AsOf: this.#revision } };
  }

  #listItems(prefix: string): unknown {
    const items = [...this.#items.values()].filter(({ Key }) => Key.startsWith(prefix));
    return { items, AsOf: this.#revision, HasMore: false };
  }

  async #watchPrefix(query: URLSearchParams): Promise<JsonResponse> {
    const after = Number(query.get('After'));
    const prefix = query.get('Prefix') ?? '';
    const endsAt = performance.now() + Number(query.get('WaitMs'));
    for (;;) {
      if (after < this.#compactedRevision) return { status: 410, body: {} };
      const events = this.#history.filter(({ Key, Rev }) => Rev > after && Key.startsWith(prefix));
      if (events.length > 0 || performance.now() >= endsAt) {
        return { status: 200, body: { events, AsOf: this.#revision } };
      }
      await sleep(5);
    }
  }

  #commitTransaction({ ExpectedRev = [], SetKeys = [], Remove = [] }: Transaction): JsonResponse {
    const readRevision = (key: string): number => this.#items.get(key)?.Rev ?? 0;
    if (ExpectedRev.some(({ Key, Rev }) => readRevision(Key) !== Rev)) {
      const items = ExpectedRev.flatMap(({ Key }) => this.#items.get(Key) ?? []);
      return { status: 412, body: { items } };
    }
    if (SetKeys.some(({ Lease = 0 }) => Lease !== 0 && !this.#leases.has(Lease))) {
      return { status: 404, body: {} };
    }
    this.#revision += 1;
    for (const { Key, Value, Lease = 0 } of SetKeys) this.#writeItem(Key, Value, Lease);
    for (const key of Remove) this.#deleteItem(key);
    return { status: 200, body: { Rev: this.#revision } };
  }

  #writeItem(key: string, value: string, lease: number): void {
    const item = { Key: key, Value: value, Rev: this.#revision, Lease: lease };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #deleteItem(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#history.push({ Key: key, Rev: this.#revision, Tombstone: true });
  }

  #grantLease({ TtlMs }: { readonly TtlMs: number }): JsonResponse {
    const lease = this.#nextLease;
    this.#nextLease += 1;
    this.#leases.set(lease, { ttlMs: TtlMs, endsAt: performance.now() + TtlMs });
    return { status: 200, body: { Lease: lease, TtlMs } };
  }

  #renewLease(id: number): JsonResponse {
    const lease = this.#leases.get(id);
    if (lease === undefined) return { status: 404, body: {} };
    lease.endsAt = performance.now() + lease.ttlMs;
    return { status: 200, body: {} };
  }

  #endLease(id: number): JsonResponse {
    if (!this.#leases.delete(id)) return { status: 404, body: {} };
    this.#revision += 1;
    for (const { Key, Lease } of [...this.#items.values()]) if (Lease === id) this.#deleteItem(Key);
    return { status: 200, body: {} };
  }

  #expireLeases(): void {
    for (const [id, { endsAt }] of this.#leases) {
      if (performance.now() > endsAt) this.#endLease(id);
    }
  }
}
