// Stand-ins for the cases of the second review: the platform's store, runners, and processes of the system.
// Only modules of Node.js are used, so nothing has to be built.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Time of one answer of the store, in milliseconds. */
const storeAnswerMs = 4;
/** Longest lease of a runner, in milliseconds (`MaxHoldMs`). */
const maxHoldMs = 6000;
/** Longest time of a stop, in milliseconds (`StopMs`). */
const stopMs = 400;
/** Interval between the entries that a runner writes to the store, in milliseconds. */
const heartbeatMs = 1500;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits for a condition. Throws after the timeout. */
export const waitUntil = async (check, timeoutMs, what) => {
  const endsAt = performance.now() + timeoutMs;
  while (performance.now() < endsAt) {
    if (await check()) return;
    await sleep(25);
  }
  throw new Error(`not reached in ${timeoutMs} ms: ${what}`);
};

const findFreePort = (ip) =>
  new Promise((resolve, reject) => {
    const server = createTcpServer();
    server.once('error', reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

const readBody = async (stream) => {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

const startServer = (handle) =>
  new Promise((resolve, reject) => {
    const server = createServer((incoming, response) => {
      handle(incoming, response).catch(() => response.destroy());
    });
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });

const sendJson = (response, status, body) => {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

/**
 * A path to a server that can be cut. While it is cut, bytes are held back in both directions, as by a partition; those
 * of a connection that was given up meanwhile are lost.
 */
export class Path {
  #target;
  #server;
  #sockets = new Set();
  #isCut = false;

  /** Opens a path to an address. */
  async open(target) {
    this.#target = target;
    this.#server = createTcpServer({ pauseOnConnect: true }, (near) => this.#accept(near));
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  cut() {
    this.#isCut = true;
    for (const socket of this.#sockets) socket.pause();
  }

  heal() {
    this.#isCut = false;
    for (const socket of this.#sockets) socket.resume();
  }

  close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(near) {
    const [host, port] = this.#target.split(':');
    const far = connect(Number(port), host);
    this.#join(near, far);
    this.#join(far, near);
    if (!this.#isCut) near.resume();
  }

  #join(from, to) {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.on('data', (chunk) => to.write(chunk));
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.#sockets.delete(from);
      to.destroy();
    });
    if (this.#isCut) from.pause();
  }
}

/** Writes one line for each event to `record.txt`. */
export class Recorder {
  #path;
  #startedAt = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, '');
  }

  write(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.#path, `${seconds} s  ${text}\n`);
  }
}

/** The platform's store: items with revisions, leases, transactions and watches. */
export class Store {
  #items = new Map();
  #leases = new Map();
  #history = [];
  #revision = 1;
  #nextLease = 1;
  #waiting = new Set();
  #server;
  #timer;

  async start() {
    this.#server = await startServer((incoming, response) => this.#serve(incoming, response));
    this.#timer = setInterval(() => this.#expireLeases(), 10);
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Writes a value as the operator or a runner does. */
  put(key, value) {
    this.#revision += 1;
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#wake();
  }

  /** Reads the JSON value of a key; undefined if there is none. */
  get(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.Value, 'base64').toString('utf8'));
  }

  async #serve(incoming, response) {
    const url = new URL(incoming.url, 'http://store');
    const text = await readBody(incoming);
    const body = text === '' ? {} : JSON.parse(text);
    await sleep(storeAnswerMs);
    const [, call, id] = url.pathname.split('/');
    const query = url.searchParams;
    if (call === 'kv-key') {
      const item = this.#items.get(query.get('Key'));
      if (item === undefined) sendJson(response, 404, { AsOf: this.#revision });
      else sendJson(response, 200, { ...item, AsOf: this.#revision });
    } else if (call === 'kv-range') this.#list(query, response);
    else if (call === 'kv-watch') await this.#watch(query, response);
    else if (call === 'kv-txn') this.#commit(body, response);
    else if (call === 'kv-lease') {
      const lease = this.#nextLease++;
      this.#leases.set(lease, { ttlMs: body.TtlMs, endsAt: performance.now() + body.TtlMs });
      sendJson(response, 200, { Lease: lease, TtlMs: body.TtlMs });
    } else if (call === 'kv-keep') {
      const lease = this.#leases.get(Number(id));
      if (lease !== undefined) lease.endsAt = performance.now() + lease.ttlMs;
      sendJson(response, lease === undefined ? 404 : 200, {});
    } else if (call === 'kv-lease-end') {
      sendJson(response, this.#endLease(Number(id)) ? 200 : 404, {});
    } else sendJson(response, 404, {});
  }

  #list(query, response) {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('After') ?? '';
    const all = [...this.#items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((a, b) => (a.Key < b.Key ? -1 : 1));
    const items = all.slice(0, 500);
    sendJson(response, 200, { items, AsOf: this.#revision, HasMore: all.length > items.length });
  }

  async #watch(query, response) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    const endsAt = performance.now() + Number(query.get('WaitMs'));
    for (;;) {
      const events = this.#history.filter(({ Key, Rev }) => Rev > after && Key.startsWith(prefix));
      const leftMs = endsAt - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        sendJson(response, 200, { events, AsOf: this.#revision });
        return;
      }
      await new Promise((resolve) => {
        const timer = setTimeout(done, leftMs);
        const waiting = this.#waiting;
        function done() {
          clearTimeout(timer);
          waiting.delete(done);
          resolve();
        }
        waiting.add(done);
      });
    }
  }

  #commit({ ExpectedRev = [], SetKeys = [], Remove = [] }, response) {
    if (ExpectedRev.some(({ Key, Rev }) => (this.#items.get(Key)?.Rev ?? 0) !== Rev)) {
      const items = ExpectedRev.flatMap(({ Key }) => this.#items.get(Key) ?? []);
      sendJson(response, 412, { items });
      return;
    }
    if (SetKeys.some(({ Lease = 0 }) => Lease !== 0 && !this.#leases.has(Lease))) {
      sendJson(response, 404, {});
      return;
    }
    this.#revision += 1;
    for (const { Key, Value, Lease = 0 } of SetKeys) this.#write(Key, Value, Lease);
    for (const key of Remove) this.#delete(key);
    this.#wake();
    sendJson(response, 200, { Rev: this.#revision });
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
    if (!this.#items.delete(key)) return;
    this.#history.push({ Key: key, Rev: this.#revision, Tombstone: true });
  }

  #endLease(id) {
    if (!this.#leases.delete(id)) return false;
    this.#revision += 1;
    for (const { Key, Lease } of [...this.#items.values()]) if (Lease === id) this.#delete(Key);
    this.#wake();
    return true;
  }

  #expireLeases() {
    for (const [id, { endsAt }] of this.#leases) if (performance.now() > endsAt) this.#endLease(id);
  }

  #wake() {
    for (const done of [...this.#waiting]) done();
  }
}

/**
 * A runner. The `Spec` of a job says what its tasks do: `ms=N` is their work in milliseconds. Each start and each end is
 * recorded with its time on the clock of the machine.
 */
export class Runner {
  id;
  /** All runs that have begun: task, run, start and end in milliseconds, outcome. */
  runs = [];
  #service;
  #capacity;
  #labels;
  #store;
  #recorder;
  #server;
  #timer;
  #beatTimer;
  #born = 0;
  #bornAt = 0;
  #sequence = 0;
  #active = new Map();
  #highest = new Map();
  #ends = [];
  #endCount = 0;
  #fence = 0;
  #leaseUntil = 0;
  #state = 'ready';
  #isDown = false;
  /** How far the time of day of this machine is ahead, in milliseconds. */
  timeOfDayOffsetMs = 0;
  /** Called with the path and the body of each call; a returned promise delays the call. */
  onCall = undefined;
  /** Says whether the sender of a call with a fencing token has a path to this runner now; undefined: all have. */
  hasPathFrom = undefined;
  /** Called with each run that begins. */
  onStart = undefined;

  constructor(id, service, store, recorder, capacity, labels) {
    this.id = id;
    this.#service = service;
    this.#store = store;
    this.#recorder = recorder;
    this.#capacity = capacity ?? { Cpu: 16000, MemMb: 32768, Gpu: 0 };
    this.#labels = labels ?? ['a', 'r1-1'];
  }

  async start() {
    this.#server = await startServer((incoming, response) => this.#serve(incoming, response));
    this.boot();
    this.#timer = setInterval(() => this.#endDue(), 5);
    this.#beatTimer = setInterval(() => this.writeEntry(), heartbeatMs);
  }

  stop() {
    clearInterval(this.#timer);
    clearInterval(this.#beatTimer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Ends the process of the runner at once; it starts again at the same address and under the same id. */
  async crash(downMs) {
    const { port } = this.#server.address();
    this.#recorder.write(`${this.id}: crashes`);
    this.#isDown = true;
    this.#loseRuns();
    clearInterval(this.#beatTimer);
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
    await sleep(downMs);
    await new Promise((resolve) => this.#server.listen(port, '127.0.0.1', resolve));
    this.#isDown = false;
    this.boot();
    this.#beatTimer = setInterval(() => this.writeEntry(), heartbeatMs);
  }

  #loseRuns() {
    for (const run of this.#active.values()) {
      run.endedAt = performance.now();
      run.outcome = 'lost';
      this.#recorder.write(`${this.id}: ${run.task} run ${run.run} ended with its incarnation`);
    }
    this.#active.clear();
  }

  /** Begins an incarnation: nothing of an earlier one is known. Runs that were active end with it. */
  boot() {
    this.#born = Date.now() + this.timeOfDayOffsetMs;
    this.#bornAt = performance.now();
    this.#sequence = 0;
    this.#highest.clear();
    this.#ends = [];
    this.#endCount = 0;
    this.#fence = 0;
    this.#leaseUntil = 0;
    this.#recorder.write(`${this.id}: incarnation ${this.#born} begins`);
    this.writeEntry();
  }

  writeEntry() {
    this.#sequence += 1;
    this.#store.put(`servers/${this.id}`, {
      Service: this.#service,
      Address: this.address,
      Zone: 'zone-a',
      Version: '1',
      Slots: 8,
      State: this.#state,
      ColdLeftMs: 0,
      Sequence: this.#sequence,
      Capacity: this.#capacity,
      Labels: this.#labels,
      born: this.#born,
    });
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  get activeTasks() {
    return [...this.#active.keys()];
  }

  get #clock() {
    return Math.round(performance.now() - this.#bornAt);
  }

  async #serve(incoming, response) {
    const path = incoming.url;
    const call = JSON.parse((await readBody(incoming)) || '{}');
    const target = incoming.headers['x-target-instance'];
    await this.onCall?.(path, call);
    if (this.#isDown || !(await this.#waitForPath(call, response))) return;
    if (target !== undefined && target !== this.id) {
      sendJson(response, 421, {});
      return;
    }
    this.#endDue();
    const token = call.FencingToken ?? 0;
    if (token < this.#fence) {
      this.#recorder.write(`${this.id}: ${path} with token ${token} refused, has ${this.#fence}`);
      sendJson(response, 409, { ClockMs: this.#clock, Reason: 'fence' });
      return;
    }
    this.#fence = token;
    let answer;
    if (path === '/run-start') answer = this.#startRun(call);
    else if (path === '/run-stop') answer = this.#stopRun(call);
    else if (path === '/hold') answer = await this.#hold(call);
    else answer = { status: 404, body: {} };
    if (await this.#waitForPath(call, response)) sendJson(response, answer.status, answer.body);
  }

  /** Waits while the sender of a call is cut off; false if it has given up the call meanwhile. */
  async #waitForPath({ FencingToken = 0 }, response) {
    if (this.hasPathFrom === undefined) return true;
    while (this.hasPathFrom?.(FencingToken) === false && !response.destroyed) await sleep(10);
    return !response.destroyed;
  }

  #startRun({ Task, Run, Spec, DeadlineMs = 0, FencingToken = 0 }) {
    this.#extendLease(DeadlineMs);
    if (DeadlineMs <= this.#clock) return this.#refuse('late');
    if (this.#active.get(Task)?.run === Run) return this.#accept();
    if (Run <= (this.#highest.get(Task) ?? 0)) return this.#refuse('old');
    this.#highest.set(Task, Run);
    const workMs = Number(/ms=(\d+)/.exec(Spec)?.[1] ?? 100);
    const startedAt = performance.now();
    const run = { worker: this.id, task: Task, run: Run, startedAt, workMs };
    this.#active.set(Task, run);
    this.runs.push(run);
    this.onStart?.(run);
    this.#recorder.write(`${this.id}: start ${Task} run ${Run} token ${FencingToken}`);
    return this.#accept();
  }

  #stopRun({ Task, Run }) {
    this.#highest.set(Task, Math.max(Run, this.#highest.get(Task) ?? 0));
    const run = this.#active.get(Task);
    if (run !== undefined && run.run <= Run) run.stopAt ??= performance.now() + stopMs / 4;
    return this.#accept();
  }

  async #hold({ DeadlineMs, AckedThrough = 0, WaitMs = 0 }) {
    if (DeadlineMs !== undefined) this.#extendLease(DeadlineMs);
    this.#ends = this.#ends.filter(([number]) => number > AckedThrough);
    const endsAt = performance.now() + WaitMs;
    while (this.#ends.length === 0 && performance.now() < endsAt) await sleep(5);
    const running = [...this.#active.values()].map((run) => {
      const percent = Math.floor(((performance.now() - run.startedAt) / run.workMs) * 100);
      return [run.task, run.run, '', Math.min(99, percent), 0];
    });
    return {
      status: 200,
      body: {
        ClockMs: this.#clock,
        RunningCount: running,
        Ended: this.#ends.slice(0, 500),
        born: this.#born,
      },
    };
  }

  #extendLease(deadline) {
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadline, this.#clock + maxHoldMs));
  }

  #endDue() {
    for (const run of [...this.#active.values()]) {
      const now = performance.now();
      if (now >= run.startedAt + run.workMs) this.#end(run, 'done');
      else if (run.stopAt !== undefined && now >= run.stopAt) this.#end(run, 'stopped');
      else if (this.#clock >= this.#leaseUntil) this.#end(run, 'lapsed');
    }
  }

  #end(run, outcome) {
    run.endedAt = performance.now();
    run.outcome = outcome;
    this.#active.delete(run.task);
    this.#endCount += 1;
    this.#ends.push([this.#endCount, run.task, run.run, outcome, '']);
    this.#recorder.write(`${this.id}: end ${run.task} run ${run.run} ${outcome}`);
  }

  #accept() {
    return { status: 200, body: { ClockMs: this.#clock } };
  }

  #refuse(reason) {
    return { status: 409, body: { ClockMs: this.#clock, Reason: reason } };
  }
}

/** Processes of the system, started with the command of the deploy file. */
export class Hosts {
  #store;
  #recorder;
  #folder = mkdtempSync(join(tmpdir(), 'toucanline-review-'));
  #hosts = new Map();
  #isStopping = false;

  constructor(store, recorder) {
    this.#store = store;
    this.#recorder = recorder;
  }

  get names() {
    return [...this.#hosts.keys()];
  }

  /** Prepares a host; `storeAddress` may be that of a proxy in front of the store. */
  async add(name, storeAddress = this.#store.address) {
    // An address of its own: a free port of 127.0.0.1 may be taken by a connection before the process binds it.
    const ip = `127.${100 + (process.pid % 100)}.${1 + (process.pid % 250)}.${this.#hosts.size + 1}`;
    const [front, ready, control, first, last, metrics] = await Promise.all(
      Array.from({ length: 6 }, () => findFreePort(ip)),
    );
    const file = join(this.#folder, `${name}.conf`);
    const lines = [
      `NodeName=${name}`,
      'Role=host',
      'MachineClass=front',
      'Serves=front',
      `Ip=${ip}`,
      'Zone=zone-a',
      'Region=region',
      'Zones.zone-a=region',
      `Listen.Front=${ip}:${front}`,
      `Listen.Readiness=${ip}:${ready}`,
      `Listen.Control=${ip}:${control}`,
      `PortRange=${first},${last}`,
      'Bootstrap=true',
      'Limits.CpuShare=0.675',
      'Limits.Cores=1',
      'Limits.MemoryMb=350',
      'Limits.MaxFds=4100',
      'Limits.LinkMbps=1000.0',
      'Limits.DiskMb=0',
      'Discovery=platform',
      'Entry=vip',
      `HeartbeatMs=${heartbeatMs}`,
      'Contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing',
      'Bounds.ContactMs=3000',
      'Bounds.AckMs=4000',
      'Bounds.DrainMs=2000',
      'Bounds.GraceS=6',
      'Bounds.ConfigMs=2000',
      'Bounds.StrictRevoke=true',
      'Bounds.RevokeMs=5000',
      `Bounds.MaxHoldMs=${maxHoldMs}`,
      `Bounds.StopMs=${stopMs}`,
      'Bounds.GangWaitMs=3000',
      'Bounds.cancel_ms=3000',
      'Bounds.visible_ms=3000',
      'Bounds.finish_s=14',
      'Bounds.status_s=120',
      'Bounds.LeaseMs=3000',
      'Orders=invoke',
      `platform.Address=${storeAddress}`,
      'platform.form=kv',
      'platform.WritesPerS=400',
      'platform.ReadsPerS=2000',
      'platform.HistoryS=20',
      'platform.ValueBytes=1048576',
      'platform.TtlMinMs=1000',
    ];
    writeFileSync(file, `${lines.join('\n')}\n`);
    const host = { name, file, ip, front, ready, metrics, child: undefined, exits: 0 };
    this.#hosts.set(name, host);
    this.run(name);
  }

  /** Starts the process of a host. One that ends is started again after 0.5 s, as the platform does. */
  run(name) {
    const host = this.#hosts.get(name);
    const child = spawn('node', ['--max-old-space-size=140', 'target/toucanline-host.mjs'], {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        TOUCANLINE_NODE_FILE: host.file,
        TOUCANLINE_METRICS_PORT: String(host.metrics),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    host.child = child;
    host.log ??= [];
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk) => {
        host.log.push(chunk);
        if (process.env.HOST_LOGS !== undefined)
          appendFileSync(join(process.env.HOST_LOGS, `${name}.log`), chunk);
      });
    }
    this.#recorder.write(`${name}: process ${child.pid} started`);
    child.once('exit', (code, signal) => {
      this.#recorder.write(`${name}: process ${child.pid} ended (${signal ?? code})`);
      host.exits += 1;
      if (!this.#isStopping && host.child === child) setTimeout(() => this.#restart(host), 500);
    });
  }

  #restart(host) {
    if (!this.#isStopping) this.run(host.name);
  }

  /** Sends a signal to the process of a host. */
  signal(name, signal) {
    this.#recorder.write(`${name}: ${signal}`);
    this.#hosts.get(name).child.kill(signal);
  }

  stop() {
    this.#isStopping = true;
    for (const { child } of this.#hosts.values()) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Name of the host that leads, as the store says; undefined if there is none. */
  get leader() {
    return this.#store.get('toucanline/lead/holder')?.host;
  }

  async isReady(name) {
    const { ip, ready } = this.#hosts.get(name);
    const answer = await send(ip, ready, 'GET', '/ready', {}, undefined, 1000);
    return answer.status === 200;
  }

  /** Waits until all hosts take calls and one leads. */
  async waitUntilReady() {
    await waitUntil(
      async () => (await Promise.all(this.names.map((name) => this.isReady(name)))).every(Boolean),
      30_000,
      'all hosts are ready',
    );
    await waitUntil(() => this.leader !== undefined, 10_000, 'a host leads');
  }

  /** Sends a client's call to a host; status 0 stands for no answer. */
  async call(name, method, path, body, { key = 'key-1', host = 'desk.example' } = {}) {
    const { ip, front } = this.#hosts.get(name);
    const headers = { host, authorization: `Token ${key}` };
    const answer = await send(ip, front, method, path, headers, body, 3000);
    this.#recorder.write(
      `client: ${method} ${path} to ${name}: ${answer.status} ${answer.body.slice(0, 80)}`,
    );
    return answer;
  }
}

/** Sends a request to a loopback address; status 0 stands for no answer. */
const send = (ip, port, method, path, headers, body, timeoutMs) =>
  new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const outgoing = request(
      {
        host: ip,
        port,
        method,
        path,
        agent: false,
        headers: {
          ...headers,
          ...(text === ''
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        },
      },
      (response) => {
        readBody(response).then(
          (answer) => resolve({ status: response.statusCode, body: answer }),
          () => resolve({ status: 0, body: '' }),
        );
      },
    );
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    outgoing.once('error', () => resolve({ status: 0, body: '' }));
    outgoing.once('close', () => clearTimeout(timer));
    outgoing.end(text);
  });

/** One route of the operator's configuration. */
export const createRoute = (name, service, more = {}) => ({
  Name: name,
  Host: 'desk.example',
  Prefix: `/${name}/`,
  Service: service,
  Priority: 1,
  MaxAttempts: 2,
  Stretch: 4,
  SloMs: 3000,
  ...more,
});

/** The operator's configuration. */
export const createConfiguration = (version, routes, services, tenants) => ({
  Version: version,
  Routes: routes,
  Services: services.map((name) => ({ Name: name, EnforcesCapacity: false })),
  Tenants: tenants ?? [{ Name: 'tenant-1', ApiKeys: ['key-1'], Weight: 100 }],
  Limits: { MaxBodyBytes: 262_144 },
});

/** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export const runCase = async (folder, play) => {
  const recorder = new Recorder(join(folder, 'record.txt'));
  const store = new Store();
  const hosts = new Hosts(store, recorder);
  const runners = [];
  const end = (code, text) => {
    recorder.write(text);
    process.stdout.write(`${text}\n`);
    hosts.stop();
    for (const runner of runners) runner.stop();
    store.stop();
    process.exit(code);
  };
  process.once('SIGTERM', () => end(2, 'the case was stopped'));
  process.once('SIGINT', () => end(2, 'the case was stopped'));
  setTimeout(() => end(2, 'the case took too long'), 115_000);
  try {
    await store.start();
    const hasTrouble = process.env.TROUBLE !== '0';
    recorder.write(hasTrouble ? 'with the disruption' : 'without the disruption');
    const addRunner = async (...options) => {
      const [id, service, capacity, labels] = options;
      const runner = new Runner(id, service, store, recorder, capacity, labels);
      await runner.start();
      runners.push(runner);
      return runner;
    };
    const broken = await play({ store, hosts, runners, addRunner, recorder, hasTrouble });
    for (const text of broken) recorder.write(`BROKEN: ${text}`);
    if (broken.length > 0) end(1, `rule broken: ${broken[0]}`);
    else end(0, 'the rule held');
  } catch (error) {
    end(2, `the case could not run: ${String(error?.stack ?? error)}`);
  }
};
