import { createServer } from 'node:http';

const maxItems = 500;
const maxPageBytes = 1_000_000;
const maxEntries = 32;
const maxValueBytes = 1_048_576;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Stand-in of the platform's store, as PROTOCOL.md describes it: items, transactions, leases and watches. */
export class Store {
  #items = new Map();
  #history = [];
  #leases = new Map();
  #revision = 1;
  #nextLease = 77_000;
  #server;
  #timer;
  #waiters = new Set();
  /** Called with each call before it is handled; may return a promise of a response that replaces the call. */
  intercept = undefined;
  address = '';
  /** Number of transactions that were refused because of a value over `ValueBytes`. */
  tooLarge = 0;

  async start() {
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.#timer = setInterval(() => this.#expireLeases(), 20);
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a value as the operator or a runner. */
  put(key, value) {
    this.#revision += 1;
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#wake();
    return this.#revision;
  }

  /** Reads a value; undefined if the key does not exist. */
  get(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.Value, 'base64').toString('utf8'));
  }

  remove(key) {
    this.#revision += 1;
    this.#delete(key);
    this.#wake();
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, call, id] = url.pathname.split('/');
    const body = request.method === 'POST' ? await readBody(request) : {};
    const replaced = await this.intercept?.(call, body, request, response);
    if (replaced === 'handled') return;
    const [status, reply] = replaced ?? (await this.#handle(call, id, url.searchParams, body));
    const text = JSON.stringify(reply);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async #handle(call, id, query, body) {
    switch (call) {
      case 'kv-key': {
        const item = this.#items.get(query.get('Key') ?? '');
        return item === undefined
          ? [404, { AsOf: this.#revision }]
          : [200, { ...item, AsOf: this.#revision }];
      }
      case 'kv-range':
        return [200, this.#list(query.get('Prefix') ?? '', query.get('After') ?? '')];
      case 'kv-watch':
        return this.#watch(query);
      case 'kv-txn':
        return this.commit(body);
      case 'kv-lease': {
        const lease = (this.#nextLease += 1);
        const ttlMs = Math.max(1000, Math.min(600_000, body.TtlMs));
        this.#leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
        return [200, { Lease: lease, TtlMs: ttlMs }];
      }
      case 'kv-keep': {
        const lease = this.#leases.get(Number(id));
        if (lease === undefined) return [404, {}];
        lease.endsAt = performance.now() + lease.ttlMs;
        return [200, { TtlMs: lease.ttlMs }];
      }
      case 'kv-lease-end':
        if (!this.#leases.has(Number(id))) return [404, {}];
        this.#endLease(Number(id));
        return [200, {}];
      default:
        return [404, {}];
    }
  }

  #list(prefix, after) {
    const keys = [...this.#items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      if (items.length >= maxItems || bytes > maxPageBytes) break;
      const item = this.#items.get(key);
      bytes += item.Value.length;
      items.push(item);
    }
    return { items, HasMore: items.length < keys.length, AsOf: this.#revision };
  }

  async #watch(query) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    const endsAt = performance.now() + Math.min(30_000, Number(query.get('WaitMs') ?? 0));
    for (;;) {
      const events = this.#history.filter(({ Key, Rev }) => Rev > after && Key.startsWith(prefix));
      const leftMs = endsAt - performance.now();
      if (events.length > 0 || leftMs <= 0) return [200, { events, AsOf: this.#revision }];
      await new Promise((resolve) => {
        const timer = setTimeout(done, leftMs);
        const waiters = this.#waiters;
        function done() {
          clearTimeout(timer);
          waiters.delete(done);
          resolve();
        }
        waiters.add(done);
      });
    }
  }

  /** Carries out a transaction; returns status and reply. */
  commit({ ExpectedRev = [], SetKeys = [], Remove = [] }) {
    if (ExpectedRev.length + SetKeys.length + Remove.length > maxEntries) return [400, {}];
    if (SetKeys.some(({ Value }) => Buffer.byteLength(Value, 'base64') > maxValueBytes)) {
      this.tooLarge += 1;
      return [400, {}];
    }
    const isRefused = [...SetKeys.map(({ Key }) => Key), ...Remove].some(
      (key) => key.startsWith('op/') || key.startsWith('servers/'),
    );
    if (isRefused) return [403, {}];
    const isCurrent = ExpectedRev.every(({ Key, Rev }) => (this.#items.get(Key)?.Rev ?? 0) === Rev);
    if (!isCurrent) {
      const items = ExpectedRev.flatMap(({ Key }) => this.#items.get(Key) ?? []);
      return [412, { items }];
    }
    if (SetKeys.some(({ Lease = 0 }) => Lease !== 0 && !this.#leases.has(Lease))) return [404, {}];
    this.#revision += 1;
    for (const { Key, Value, Lease = 0 } of SetKeys) this.#write(Key, Value, Lease);
    for (const key of Remove) this.#delete(key);
    this.#wake();
    return [200, { Rev: this.#revision }];
  }

  #write(key, value, lease) {
    const createdAt = this.#items.get(key)?.CreatedAt ?? this.#revision;
    const item = {
      Key: key,
      Value: value,
      Rev: this.#revision,
      CreatedAt: createdAt,
      Lease: lease,
    };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #delete(key) {
    if (this.#items.delete(key))
      this.#history.push({ Key: key, Rev: this.#revision, Tombstone: true });
  }

  #endLease(id) {
    this.#leases.delete(id);
    const keys = [...this.#items.values()].filter(({ Lease }) => Lease === id);
    if (keys.length === 0) return;
    this.#revision += 1;
    for (const { Key } of keys) this.#delete(Key);
    this.#wake();
  }

  #expireLeases() {
    for (const [id, { endsAt }] of this.#leases) if (performance.now() > endsAt) this.#endLease(id);
  }

  #wake() {
    for (const wake of [...this.#waiters]) wake();
  }
}

export { readBody, sleep };
