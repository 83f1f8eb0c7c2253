import type { IncomingMessage } from 'node:http';
import { validators, type StoreValue } from '@toucanline/schema';
import { HttpFake } from './HttpFake.js';
import { readJson } from './readJson.js';

/** Value of a key, its version, and the lease with which it expires. */
interface StoredValue {
  readonly value: string | undefined;
  readonly version: number;
  readonly lease: string | undefined;
}

/** Duration of a lease and monotonic time of its expiry, both in milliseconds. */
interface Lease {
  readonly ttlMs: number;
  readonly endsAt: number;
}

type JsonResponse = Readonly<{ status: number; body: unknown }>;

const createResponse = (body: unknown): JsonResponse => ({ status: 200, body });

/** A fake of the platform's key-value store: compare-and-swap, leases and long-poll watches. */
export class StoreFake extends HttpFake {
  readonly #values = new Map<string, StoredValue>();
  readonly #leases = new Map<string, Lease>();
  readonly #watchers = new Set<() => void>();
  readonly #expiryTimer: NodeJS.Timeout;
  #nextLease = 1;
  #writeCount = 0;

  public constructor() {
    super();
    this.#expiryTimer = setInterval(() => {
      this.#expireLeases();
    }, 50);
  }

  /** Number of successful writes by calls so far. */
  public get writeCount(): number {
    return this.#writeCount;
  }

  /** {@inheritDoc HttpFake.stop} */
  public override stop(): void {
    clearInterval(this.#expiryTimer);
    super.stop();
  }

  /**
   * Reads a key directly, without faults.
   *
   * @param key - the key
   * @returns its value and version; version 0 if it has no value
   */
  public peek(key: string): StoreValue {
    const stored = this.#values.get(key);
    if (stored?.value === undefined) return { key, version: 0 };
    return { key, value: stored.value, version: stored.version };
  }

  /**
   * Writes a key directly, whatever its version.
   *
   * @param key - the key
   * @param value - the value
   */
  public put(key: string, value: string): void {
    this.#setValue(key, value, undefined);
  }

  /** {@inheritDoc HttpFake.openStream} */
  protected override openStream(): undefined {
    return undefined;
  }

  /** {@inheritDoc HttpFake.handle} */
  protected override async handle(request: IncomingMessage): Promise<JsonResponse> {
    const url = new URL(request.url ?? '/', 'http://store');
    const [, , collection = '', name = '', action] = url.pathname
      .split('/')
      .map(decodeURIComponent);
    const body = request.method === 'GET' ? undefined : await readJson(request);
    if (collection === 'values' && name === '')
      return this.#listValues(url.searchParams.get('prefix') ?? '');
    if (collection === 'values' && request.method === 'GET') return createResponse(this.peek(name));
    if (collection === 'values') return this.#writeValue(name, body);
    if (collection === 'watch') {
      return this.#watchKey(
        name,
        Number(url.searchParams.get('after')),
        Number(url.searchParams.get('waitMs')),
      );
    }
    if (collection === 'leases' && name === '') return this.#grantLease(body);
    if (collection === 'leases' && request.method === 'DELETE') return this.#revokeLease(name);
    if (collection === 'leases' && action === 'renew') return this.#renewLease(name);
    return { status: 404, body: {} };
  }

  #listValues(prefix: string): JsonResponse {
    const keys = [...this.#values.keys()].filter((key) => key.startsWith(prefix)).sort();
    const values = keys.map((key) => this.peek(key)).filter(({ version }) => version > 0);
    return createResponse({ values });
  }

  #writeValue(key: string, body: unknown): JsonResponse {
    if (!validators.StoreWrite(body)) return { status: 400, body: {} };
    if (this.peek(key).version !== body.ifVersion) return { status: 409, body: {} };
    if (body.lease !== undefined && !this.#leases.has(body.lease)) return { status: 409, body: {} };
    this.#setValue(key, body.value, body.lease);
    this.#writeCount += 1;
    return createResponse({ key, version: this.#values.get(key)?.version ?? 0 });
  }

  #setValue(key: string, value: string | undefined, lease: string | undefined): void {
    const version = (this.#values.get(key)?.version ?? 0) + 1;
    this.#values.set(key, { value, version, lease });
    for (const resume of [...this.#watchers]) resume();
  }

  async #watchKey(key: string, after: number, waitMs: number): Promise<JsonResponse> {
    const endsAt = performance.now() + waitMs;
    while (this.peek(key).version <= after && performance.now() < endsAt) {
      await new Promise<void>((resolve) => {
        const resume = (): void => {
          clearTimeout(timer);
          this.#watchers.delete(resume);
          resolve();
        };
        const timer = setTimeout(resume, endsAt - performance.now());
        this.#watchers.add(resume);
      });
    }
    return createResponse(this.peek(key));
  }

  #grantLease(body: unknown): JsonResponse {
    const ttlMs = Number((body as Readonly<{ ttlMs?: unknown }> | undefined)?.ttlMs);
    const lease = `lease-${this.#nextLease}`;
    this.#nextLease += 1;
    this.#leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
    return createResponse({ lease, ttlMs });
  }

  #renewLease(lease: string): JsonResponse {
    this.#expireLeases();
    const current = this.#leases.get(lease);
    if (current === undefined) return { status: 404, body: {} };
    this.#leases.set(lease, { ...current, endsAt: performance.now() + current.ttlMs });
    return createResponse({ lease, ttlMs: current.ttlMs });
  }

  #revokeLease(lease: string): JsonResponse {
    this.#leases.delete(lease);
    this.#deleteKeys(lease);
    return createResponse({});
  }

  #expireLeases(): void {
    for (const [lease, { endsAt }] of this.#leases) {
      if (performance.now() < endsAt) continue;
      this.#leases.delete(lease);
      this.#deleteKeys(lease);
    }
  }

  #deleteKeys(lease: string): void {
    for (const [key, stored] of this.#values) {
      if (stored.lease === lease) this.#setValue(key, undefined, undefined);
    }
  }
}
