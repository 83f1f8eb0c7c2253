import { createServer } from 'node:http';
import { readBody } from './store.mjs';

/**
 * Stand-in of a runner of a service whose `EnforcesCapacity` is false, as PROTOCOL.md describes it. A task whose `Spec`
 * has `ms=N` is done after N milliseconds; one with `lasts` runs until it is stopped; one with `fails=M-N` fails by its own
 * fault between M and N milliseconds after each start.
 */
export class Runner {
  #id;
  #service;
  #capacity;
  #labels;
  #zone;
  #store;
  #record;
  #bounds;
  #server;
  #timer;
  #beatTimer;
  #runs = new Map();
  #highest = new Map();
  #ended = [];
  #lastEnd = 0;
  #fence = 0;
  #deadlineMs = 0;
  #startedAt = 0;
  #born = 0;
  #sequence = 0;
  #state = 'ready';
  #waiters = new Set();
  #port = 0;
  isUp = false;
  /** Ends of runs: when each was listed, and when it was taken note of; undefined until then. */
  ends = [];

  constructor({ id, service, capacity, labels, zone, store, record, bounds }) {
    this.#id = id;
    this.#service = service;
    this.#capacity = capacity;
    this.#labels = labels;
    this.#zone = zone;
    this.#store = store;
    this.#record = record;
    this.#bounds = bounds;
  }

  get id() {
    return this.#id;
  }

  get service() {
    return this.#service;
  }

  get capacity() {
    return this.#capacity;
  }

  /** Current runs: task, run number, specification and start. */
  get runs() {
    return [...this.#runs.values()];
  }

  /** Starts a life of the runner: it holds and knows nothing of before. */
  async start() {
    this.#runs.clear();
    this.#highest.clear();
    this.#ended = [];
    this.#lastEnd = 0;
    this.#fence = 0;
    this.#deadlineMs = 0;
    this.#sequence = 0;
    this.#startedAt = performance.now();
    this.#born = Math.max(Date.now(), this.#born + 1);
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => this.#server.listen(this.#port, '127.0.0.1', resolve));
    this.#port = this.#server.address().port;
    this.isUp = true;
    this.#timer = setInterval(() => this.#endDueRuns(), 5);
    this.#beat();
    this.#beatTimer = setInterval(() => this.#beat(), this.#bounds.heartbeatMs);
  }

  /** Crashes: everything that runs is gone. The entry lapses after three heartbeats of silence. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.#timer);
    clearInterval(this.#beatTimer);
    this.#server.closeAllConnections();
    this.#server.close();
    for (const { task, run } of this.#runs.values()) this.#note('lost', { task, run });
    this.#runs.clear();
    const born = this.#born;
    setTimeout(() => {
      if (!this.isUp && this.#born === born) this.#store.remove(`servers/${this.#id}`);
    }, 3 * this.#bounds.heartbeatMs).unref();
  }

  #beat() {
    this.#sequence += 1;
    this.#store.put(`servers/${this.#id}`, {
      Service: this.#service,
      Address: `127.0.0.1:${this.#port}`,
      Zone: this.#zone,
      Version: 'v1',
      Slots: 8,
      State: this.#state,
      ColdLeftMs: 0,
      Capacity: this.#capacity,
      Labels: this.#labels,
      ClockMs: this.#clockMs,
      Sequence: this.#sequence,
      born: this.#born,
    });
  }

  get #clockMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  async #serve(request, response) {
    const call = await readBody(request);
    const [status, body] = await this.#handle(request, call);
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async #handle(request, call) {
    const target = request.headers['x-target-instance'];
    if (target !== undefined && target !== this.#id) return [421, {}];
    this.#endDueRuns();
    if ((call.FencingToken ?? 0) < this.#fence) return this.#refuse('fence');
    this.#fence = call.FencingToken ?? 0;
    if (request.url === '/run-start') return this.#startRun(call);
    if (request.url === '/run-stop') return this.#stopRun(call);
    if (request.url === '/hold') return this.#hold(call);
    if (request.url === '/pace') return [200, { ClockMs: this.#clockMs }];
    return [404, {}];
  }

  #startRun({ Task, Run, Spec, DeadlineMs = 0, Saved = '' }) {
    if (DeadlineMs <= this.#clockMs) return this.#refuse('late');
    this.#extend(DeadlineMs);
    if (this.#runs.get(Task)?.run === Run) return [200, { ClockMs: this.#clockMs }];
    if (Run <= (this.#highest.get(Task) ?? 0) || this.#runs.has(Task)) return this.#refuse('old');
    this.#highest.set(Task, Run);
    const now = performance.now();
    const failsAfter = /fails=(\d+)-(\d+)/.exec(Spec)?.slice(1).map(Number);
    const lasts = Spec.includes('lasts');
    const ms = lasts ? Infinity : Number(/ms=(\d+)/.exec(Spec)?.[1] ?? 100);
    this.#runs.set(Task, {
      task: Task,
      run: Run,
      spec: Spec,
      startedAt: now,
      endsAt: now + ms,
      failsAt: failsAfter === undefined ? Infinity : now + pickBetween(failsAfter, Task, Run),
    });
    this.#note('start', { task: Task, run: Run, saved: Saved });
    return [200, { ClockMs: this.#clockMs }];
  }

  #stopRun({ Task, Run }) {
    this.#highest.set(Task, Math.max(Run, this.#highest.get(Task) ?? 0));
    const run = this.#runs.get(Task);
    if (run !== undefined && run.run <= Run && run.stopsAt === undefined)
      run.stopsAt = performance.now() + this.#bounds.stopMs / 2;
    return [200, { ClockMs: this.#clockMs }];
  }

  async #hold({ DeadlineMs, AckedThrough = 0, WaitMs = 0 }) {
    if (DeadlineMs !== undefined) this.#extend(DeadlineMs);
    for (const [number, , , , , end] of this.#ended)
      if (number <= AckedThrough) end.notedAt = performance.now();
    this.#ended = this.#ended.filter(([number]) => number > AckedThrough);
    if (this.#ended.length === 0 && WaitMs > 0) {
      await new Promise((resolve) => {
        const waiters = this.#waiters;
        const timer = setTimeout(done, Math.min(2000, WaitMs));
        function done() {
          clearTimeout(timer);
          waiters.delete(done);
          resolve();
        }
        waiters.add(done);
      });
    }
    return [
      200,
      {
        ClockMs: this.#clockMs,
        RunningCount: [...this.#runs.values()]
          .filter(({ stopsAt }) => stopsAt === undefined)
          .map((run) => [run.task, run.run, '', computePercent(run), 0]),
        Ended: this.#ended.slice(0, 500).map((row) => row.slice(0, 5)),
        born: this.#born,
      },
    ];
  }

  #extend(deadlineMs) {
    const longest = this.#clockMs + this.#bounds.maxHoldMs;
    this.#deadlineMs = Math.max(this.#deadlineMs, Math.min(deadlineMs, longest));
  }

  #endDueRuns() {
    if (!this.isUp) return;
    const now = performance.now();
    for (const run of [...this.#runs.values()]) {
      if (run.stopsAt !== undefined && now >= run.stopsAt) this.#end(run, 'stopped');
      else if (now >= run.failsAt) this.#end(run, 'failed');
      else if (now >= run.endsAt) this.#end(run, 'done');
      else if (this.#clockMs >= this.#deadlineMs) this.#end(run, 'lapsed');
    }
  }

  #end(run, how) {
    this.#runs.delete(run.task);
    this.#lastEnd += 1;
    const end = { task: run.task, listedAt: performance.now(), notedAt: undefined };
    this.ends.push(end);
    this.#ended.push([this.#lastEnd, run.task, run.run, how, '', end]);
    this.#note('end', { task: run.task, run: run.run, how });
    for (const wake of [...this.#waiters]) wake();
  }

  #refuse(reason) {
    return [409, { ClockMs: this.#clockMs, Reason: reason }];
  }

  #note(event, fields) {
    this.#record(event, { runner: this.#id, ...fields });
  }
}

/** Picks a time between two bounds, the same one for the same run. */
const pickBetween = ([from, to], task, run) => {
  let hash = run;
  for (const char of task) hash = (hash * 31 + char.charCodeAt(0)) % 1_000_003;
  return from + ((hash % 1000) / 1000) * (to - from);
};

const computePercent = ({ startedAt, endsAt }) =>
  endsAt === Infinity
    ? 100
    : Math.min(99, Math.floor((100 * (performance.now() - startedAt)) / (endsAt - startedAt)));
