import type { IncomingMessage } from 'node:http';
import { validators, type StoreValue } from '@toucanline/schema';
import { HttpFake } from './HttpFake.js';
import { readJson } from './readJson.js';

/** A key with its value and the lease that it depends on. */
interface Entry {
  readonly value: string | undefined;
  readonly version: number;
  readonly lease: string | undefined;
}

/** A lease with its end. */
interface Lease {
  readonly ttlMs: number;
  readonly endsAt: number;
}

type Answer = Readonly<{ status: number; body: unknown }>;

const ok = (body: unknown): Answer => ({ status: 200, body });

/** The platform's store in memory: compare-and-swap, leases, watches. */
export class StoreFake extends HttpFake {
  readonly #entries = new Map<string, Entry>();
  readonly #leases = new Map<string, Lease>();
  readonly #watchers = new Set<() => void>();
  readonly #timer: NodeJS.Timeout;
  #nextLease = 1;
  #writes = 0;

  public constructor() {
    super();
    this.#timer = setInterval(() => {
      this.#expireLeases();
    }, 50);
  }

  /** Successful writes so far. */
  public get writes(): number {
    return this.#writes;
  }

  /** {@inheritDoc HttpFake.stop} */
  public override stop(): void {
    clearInterval(this.#timer);
    super.stop();
  }

  /**
   * Reads a key without a call.
   *
   * @param key - the key
   * @returns its value and version
   */
  public peek(key: string): StoreValue {
    const entry = this.#entries.get(key);
    if (entry?.value === undefined) return { key, version: 0 };
    return { key, value: entry.value, version: entry.version };
  }

  /**
   * Writes a key without a call.
   *
   * @param key - the key
   * @param value - the value
   */
  public put(key: string, value: string): void {
    this.#set(key, value, undefined);
  }

  /** {@inheritDoc HttpFake.openStream} */
  protected override openStream(): undefined {
    return undefined;
  }

  /** {@inheritDoc HttpFake.handle} */
  protected override async handle(request: IncomingMessage): Promise<Answer> {
    const url = new URL(request.url ?? '/', 'http://store');
    const [, , collection = '', name = '', action] = url.pathname
      .split('/')
      .map(decodeURIComponent);
    const body = request.method === 'GET' ? undefined : await readJson(request);
    if (collection === 'values' && name === '')
      return this.#list(url.searchParams.get('prefix') ?? '');
    if (collection === 'values' && request.method === 'GET') return ok(this.peek(name));
    if (collection === 'values') return this.#write(name, body);
    if (collection === 'watch') {
      return this.#watch(
        name,
        Number(url.searchParams.get('after')),
        Number(url.searchParams.get('waitMs')),
      );
    }
    if (collection === 'leases' && name === '') return this.#grant(body);
    if (collection === 'leases' && request.method === 'DELETE') return this.#revoke(name);
    if (collection === 'leases' && action === 'renew') return this.#renew(name);
    return { status: 404, body: {} };
  }

  #list(prefix: string): Answer {
    const keys = [...this.#entries.keys()].filter((key) => key.startsWith(prefix)).sort();
    const values = keys.map((key) => this.peek(key)).filter(({ version }) => version > 0);
    return ok({ values });
  }

  #write(key: string, body: unknown): Answer {
    if (!validators.StoreWrite(body)) return { status: 400, body: {} };
    if (this.peek(key).version !== body.ifVersion) return { status: 409, body: {} };
    if (body.lease !== undefined && !this.#leases.has(body.lease)) return { status: 409, body: {} };
    this.#set(key, body.value, body.lease);
    this.#writes += 1;
    return ok({ key, version: this.#entries.get(key)?.version ?? 0 });
  }

  #set(key: string, value: string | undefined, lease: string | undefined): void {
    const version = (this.#entries.get(key)?.version ?? 0) + 1;
    this.#entries.set(key, { value, version, lease });
    for (const wake of [...this.#watchers]) wake();
  }

  async #watch(key: string, after: number, waitMs: number): Promise<Answer> {
    const endsAt = performance.now() + waitMs;
    while (this.peek(key).version <= after && performance.now() < endsAt) {
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          clearTimeout(timer);
          this.#watchers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, endsAt - performance.now());
        this.#watchers.add(wake);
      });
    }
    return ok(this.peek(key));
  }

  #grant(body: unknown): Answer {
    const ttlMs = Number((body as Readonly<{ ttlMs?: unknown }> | undefined)?.ttlMs);
    const lease = `lease-${this.#nextLease}`;
    this.#nextLease += 1;
    this.#leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
    return ok({ lease, ttlMs });
  }

  #renew(lease: string): Answer {
    this.#expireLeases();
    const known = this.#leases.get(lease);
    if (known === undefined) return { status: 404, body: {} };
    this.#leases.set(lease, { ...known, endsAt: performance.now() + known.ttlMs });
    return ok({ lease, ttlMs: known.ttlMs });
  }

  #revoke(lease: string): Answer {
    this.#leases.delete(lease);
    this.#dropKeys(lease);
    return ok({});
  }

  #expireLeases(): void {
    for (const [lease, { endsAt }] of this.#leases) {
      if (performance.now() < endsAt) continue;
      this.#leases.delete(lease);
      this.#dropKeys(lease);
    }
  }

  #dropKeys(lease: string): void {
    for (const [key, entry] of this.#entries) {
      if (entry.lease === lease) this.#set(key, undefined, undefined);
    }
  }
}
