import http from 'node:http';
import { platformIp } from './address.mjs';

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Stand-in of the platform's store: linearizable reads, ranges, watches, transactions and leases. It loses nothing that
 * it has acknowledged.
 */
export class Store {
  #items = new Map();
  #leases = new Map();
  #history = [];
  #revision = 1;
  #nextLease = 1;
  #waiters = new Set();
  #server;
  #timer;
  /**
   * Decides about each transaction before it is applied: undefined applies and answers it; `{ lateMs }` answers nothing
   * and applies it that much later if its condition still holds.
   */
  interceptTransaction = () => undefined;
  /** Called after each change with the key and the decoded value. */
  onChange = () => undefined;

  async start(host = platformIp) {
    this.#server = http.createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
    this.#timer = setInterval(() => {
      const now = performance.now();
      for (const [id, lease] of this.#leases) if (now > lease.endsAt) this.#endLease(id);
    }, 10);
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a value in place of the operator or of a server. */
  put(key, value) {
    this.#revision += 1;
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#wake();
  }

  remove(key) {
    this.#revision += 1;
    this.#delete(key);
    this.#wake();
  }

  get(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.Value, 'base64').toString('utf8'));
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const [, call, id] = url.pathname.split('/');
    const body = await readBody(request);
    const answer = await this.#answer(call, id, query, body);
    if (answer === undefined) return; // The answer is lost; the connection returns nothing further.
    response.writeHead(answer.status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer.body));
  }

  async #answer(call, id, query, body) {
    if (call === 'kv-key') {
      const item = this.#items.get(query.get('Key'));
      if (item === undefined) return { status: 404, body: { AsOf: this.#revision } };
      return { status: 200, body: { ...item, AsOf: this.#revision } };
    }
    if (call === 'kv-range') return this.#range(query);
    if (call === 'kv-watch') return this.#watch(query);
    if (call === 'kv-txn') {
      const verdict = this.interceptTransaction(body);
      if (verdict === undefined) return this.#commit(body);
      setTimeout(() => this.#commit(body), verdict.lateMs);
      return undefined;
    }
    if (call === 'kv-lease') {
      const lease = this.#nextLease;
      this.#nextLease += 1;
      this.#leases.set(lease, { ttlMs: body.TtlMs, endsAt: performance.now() + body.TtlMs });
      return { status: 200, body: { Lease: lease, TtlMs: body.TtlMs } };
    }
    if (call === 'kv-keep') {
      const lease = this.#leases.get(Number(id));
      if (lease === undefined) return { status: 404, body: {} };
      lease.endsAt = performance.now() + lease.ttlMs;
      return { status: 200, body: {} };
    }
    if (call === 'kv-lease-end') {
      return this.#endLease(Number(id)) ? { status: 200, body: {} } : { status: 404, body: {} };
    }
    return { status: 404, body: {} };
  }

  #range(query) {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('After') ?? '';
    const items = [...this.#items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((a, b) => (a.Key < b.Key ? -1 : 1));
    const page = items.slice(0, 500);
    return {
      status: 200,
      body: { items: page, HasMore: page.length < items.length, AsOf: this.#revision },
    };
  }

  async #watch(query) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    const endsAt = performance.now() + Number(query.get('WaitMs'));
    for (;;) {
      const events = this.#history.filter(({ Key, Rev }) => Rev > after && Key.startsWith(prefix));
      const leftMs = endsAt - performance.now();
      if (events.length > 0 || leftMs <= 0)
        return { status: 200, body: { events, AsOf: this.#revision } };
      await Promise.race([sleep(leftMs), new Promise((resolve) => this.#waiters.add(resolve))]);
    }
  }

  #commit({ ExpectedRev = [], SetKeys = [], Remove = [] }) {
    const revisionOf = (key) => this.#items.get(key)?.Rev ?? 0;
    if (ExpectedRev.some(({ Key, Rev }) => revisionOf(Key) !== Rev)) {
      const items = ExpectedRev.flatMap(({ Key }) => this.#items.get(Key) ?? []);
      return { status: 412, body: { items } };
    }
    if (SetKeys.some(({ Lease = 0 }) => Lease !== 0 && !this.#leases.has(Lease)))
      return { status: 404, body: {} };
    this.#revision += 1;
    for (const { Key, Value, Lease = 0 } of SetKeys) this.#write(Key, Value, Lease);
    for (const key of Remove) this.#delete(key);
    this.#wake();
    return { status: 200, body: { Rev: this.#revision } };
  }

  #write(Key, Value, Lease) {
    const CreatedAt = this.#items.get(Key)?.CreatedAt ?? this.#revision;
    const item = { Key, Value, Rev: this.#revision, CreatedAt, Lease };
    this.#items.set(Key, item);
    this.#history.push(item);
    this.onChange(Key, Value);
  }

  #delete(Key) {
    if (!this.#items.delete(Key)) return;
    this.#history.push({ Key, Rev: this.#revision, Tombstone: true });
  }

  #endLease(id) {
    if (!this.#leases.delete(id)) return false;
    this.#revision += 1;
    for (const { Key, Lease } of [...this.#items.values()]) if (Lease === id) this.#delete(Key);
    this.#wake();
    return true;
  }

  #wake() {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const resolve of waiters) resolve();
  }
}
