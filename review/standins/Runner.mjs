import http from 'node:http';
import { platformIp } from './address.mjs';

const maxHoldMs = 6000;
const stopMs = 300;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Stand-in of a runner, as PROTOCOL.md describes it. `Spec` of a job tells how long its tasks run: `ms=N`.
 * All runs go to `history`, which the checks read.
 */
export class Runner {
  #life;
  #server;
  #sockets = new Set();
  #host;
  #port = 0;
  #heartbeat;
  #isCut = false;
  #heldBack = [];

  constructor(store, { id, service, zone = 'zone-a', labels = [], cpu = 4000, memMb = 8000 }) {
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.labels = labels;
    this.capacity = { Cpu: cpu, MemMb: memMb };
    /** Every run that was begun here: task, run, cpu-free record with start and end in ms since `epoch`. */
    this.history = [];
    this.log = () => undefined;
    this.heartbeatMs = 1500;
    /** Chooses how a run ends: `{ afterMs, how }`; undefined means as its specification says. */
    this.chooseEnd = () => undefined;
    /** Checks the ticket of a start. */
    this.hasTicket = () => true;
  }

  get address() {
    return `${this.#host}:${this.#port}`;
  }

  get runs() {
    return this.#life?.runs ?? new Map();
  }

  /** Starts the first or a further life. The entry in the store is written after `registerAfterMs`. */
  async start({ host = platformIp, registerAfterMs = 0 } = {}) {
    this.#host = host;
    const life = {
      born: Date.now(),
      startedAt: performance.now(),
      runs: new Map(),
      highest: new Map(),
      ended: [],
      count: 0,
      token: 0,
      leaseUntil: 0,
    };
    this.#life = life;
    this.#server = http.createServer((request, response) => {
      this.#receive(life, request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(this.#port, host, resolve));
    this.#port = this.#server.address().port;
    life.timer = setInterval(() => this.#endDue(life), 5);
    this.log(`runner ${this.id} born ${life.born} listens`);
    const register = () => {
      if (this.#life !== life) return;
      this.#writeEntry(life);
      this.#heartbeat = setInterval(() => this.#writeEntry(life), this.heartbeatMs);
    };
    if (registerAfterMs === 0) register();
    else setTimeout(register, registerAfterMs);
  }

  /** Ends the process: its runs are gone, its connections are reset, its port is closed. */
  crash() {
    const life = this.#life;
    this.#life = undefined;
    clearInterval(life.timer);
    clearInterval(this.#heartbeat);
    for (const run of life.runs.values()) this.#finish(run, 'gone');
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.log(`runner ${this.id} crashes`);
  }

  stop() {
    if (this.#life !== undefined) this.crash();
  }

  /** Cuts the runner off from all machines of the system: calls arrive nowhere and answers are lost. It runs on. */
  cut() {
    this.#isCut = true;
    this.log(`runner ${this.id} is cut off and runs on`);
  }

  heal() {
    this.#isCut = false;
    for (const socket of this.#sockets) socket.destroy();
    this.log(`runner ${this.id} is reachable again`);
  }

  /** Answers late; used as the delay of a distant or slow runner. */
  answerDelayMs = 0;

  #writeEntry(life) {
    this.store.put(`servers/${this.id}`, {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Slots: 8,
      State: 'ready',
      ColdLeftMs: 0,
      Sequence: (life.sequence = (life.sequence ?? 0) + 1),
      Capacity: this.capacity,
      Labels: this.labels,
      born: life.born,
    });
  }

  #now(life) {
    return Math.round(performance.now() - life.startedAt);
  }

  async #receive(life, request, response) {
    const body = await readBody(request);
    if (this.#isCut) return; // The request is lost behind the partition.
    if (this.answerDelayMs > 0) await sleep(this.answerDelayMs);
    const answer = await this.#handle(life, request, body);
    if (this.#life !== life || this.#isCut) return;
    response.writeHead(answer.status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer.body));
  }

  async #handle(life, request, body) {
    const target = request.headers['x-target-instance'];
    if (target !== undefined && target !== this.id) return { status: 421, body: {} };
    this.#endDue(life);
    const { FencingToken = 0 } = body;
    if (FencingToken < life.token) return this.#refuse(life, 'fence');
    life.token = FencingToken;
    if (request.url === '/run-start') return this.#startRun(life, body);
    if (request.url === '/run-stop') return this.#stopRun(life, body);
    if (request.url === '/hold') return this.#hold(life, body);
    return { status: 400, body: {} };
  }

  #startRun(life, { Task, Run, Spec, DeadlineMs, FencingToken, Ticket }) {
    const now = this.#now(life);
    if (DeadlineMs <= now) return this.#refuse(life, 'late');
    this.#extend(life, DeadlineMs);
    const running = life.runs.get(Task);
    if (running?.run === Run) return this.#accept(life);
    if (Run <= (life.highest.get(Task) ?? 0)) return this.#refuse(life, 'old');
    if (!this.hasTicket(Ticket, this.id, Task)) return this.#refuse(life, 'ticket');
    life.highest.set(Task, Run);
    const end = this.chooseEnd(Task, Run) ?? {
      afterMs: Number(/ms=(\d+)/.exec(Spec)?.[1] ?? 50),
      how: 'done',
    };
    const run = {
      task: Task,
      run: Run,
      runner: this.id,
      token: FencingToken,
      startedAt: performance.now(),
      endsAt: performance.now() + end.afterMs,
      how: end.how,
      life: life.born,
    };
    life.runs.set(Task, run);
    this.history.push(run);
    this.log(
      `runner ${this.id} (born ${life.born}) starts ${Task} run ${Run}, token ${FencingToken}`,
    );
    return this.#accept(life);
  }

  #stopRun(life, { Task, Run }) {
    life.highest.set(Task, Math.max(Run, life.highest.get(Task) ?? 0));
    const run = life.runs.get(Task);
    if (run !== undefined && run.run <= Run && run.stoppingAt === undefined) {
      run.stoppingAt = performance.now();
      run.endsAt = performance.now() + stopMs;
      run.how = 'stopped';
      this.log(`runner ${this.id} stops ${Task} run ${run.run}`);
    }
    return this.#accept(life);
  }

  async #hold(life, { DeadlineMs, AckedThrough = 0, WaitMs = 0 }) {
    if (DeadlineMs !== undefined) this.#extend(life, DeadlineMs);
    life.ended = life.ended.filter(([number]) => number > AckedThrough);
    const until = performance.now() + Math.min(2000, WaitMs);
    while (life.ended.length === 0 && performance.now() < until && this.#life === life)
      await sleep(5);
    const now = performance.now();
    const RunningCount = [...life.runs.values()].map(({ task, run, startedAt, endsAt }) => [
      task,
      run,
      '',
      Math.max(0, Math.min(99, Math.floor((100 * (now - startedAt)) / (endsAt - startedAt)))),
      0,
    ]);
    const Ended = life.ended.slice(0, 500);
    return {
      status: 200,
      body: { ClockMs: this.#now(life), RunningCount, Ended, born: life.born },
    };
  }

  #extend(life, deadline) {
    life.leaseUntil = Math.max(life.leaseUntil, Math.min(deadline, this.#now(life) + maxHoldMs));
  }

  #endDue(life) {
    const now = performance.now();
    const hasLapsed = this.#now(life) >= life.leaseUntil;
    for (const run of [...life.runs.values()]) {
      if (now >= run.endsAt) this.#end(life, run, run.how);
      else if (hasLapsed) this.#end(life, run, 'lapsed');
    }
  }

  #end(life, run, how) {
    life.runs.delete(run.task);
    life.count += 1;
    life.ended.push([life.count, run.task, run.run, how, '']);
    this.#finish(run, how);
  }

  #finish(run, how) {
    run.endedAt = performance.now();
    run.end = how;
    this.log(`runner ${this.id}: ${run.task} run ${run.run} ends ${how}`);
  }

  #accept(life) {
    return { status: 200, body: { ClockMs: this.#now(life) } };
  }

  #refuse(life, Reason) {
    return { status: 409, body: { ClockMs: this.#now(life), Reason } };
  }
}
