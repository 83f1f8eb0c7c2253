import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { addressPrefix } from './address.mjs';
import { Runner } from './Runner.mjs';
import { Store } from './Store.mjs';

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const hasTrouble = process.env.TROUBLE !== '0';
const root = join(import.meta.dirname, '..', '..');

const findFreePort = (ip) =>
  new Promise((resolve, reject) => {
    const server = net.createServer();
    server.on('error', reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

/** Reads the command and the variables of the role from the deploy file. */
const readRole = () => {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8');
  const [command, ...args] = /^run = "([^"]+)"/m.exec(text)[1].split(' ');
  const env = Object.fromEntries(
    [...(/^env = \{(.*)\}/m.exec(text)?.[1] ?? '').matchAll(/(\w+) = "([^"]*)"/g)].map(
      ([, name, value]) => [name, value],
    ),
  );
  return { command, args, env };
};

/** Ends a case that could not run, or whose check has a verdict. */
class Verdict extends Error {
  constructor(code, message) {
    super(message);
    this.code = code;
  }
}

export const fail = (message) => new Verdict(1, message);
export const unable = (message) => new Verdict(2, message);

/** A small deployment on loopback: a store, runners, and hosts as processes of the deploy file. */
export class Site {
  store = new Store();
  runners = [];
  hosts = [];
  /** Stand-in of the advice service, if the case has one. */
  advice;
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #record;
  #version = 10;
  #startedAt = performance.now();

  constructor(caseFolder) {
    this.#record = createWriteStream(join(caseFolder, 'record.txt'));
  }

  log(text) {
    const ms = (performance.now() - this.#startedAt).toFixed(0).padStart(7);
    this.#record.write(`${ms} ms  ${text}\n`);
  }

  get time() {
    return performance.now();
  }

  async startStore() {
    await this.store.start();
  }

  configure(configuration) {
    this.#version += 3;
    this.log(`operator writes configuration ${this.#version}: ${JSON.stringify(configuration)}`);
    this.store.put('op/config', { Version: this.#version, Limits: {}, ...configuration });
  }

  async addRunner(options) {
    const runner = new Runner(this.store, options);
    runner.log = (text) => this.log(text);
    this.runners.push(runner);
    await runner.start();
    return runner;
  }

  async addHosts(count, more = {}) {
    for (let number = 1; number <= count; number += 1) await this.#addHost(`front-${number}`, more);
    await this.until(
      async () => (await Promise.all(this.hosts.map((host) => this.#isReady(host)))).every(Boolean),
      20_000,
      'all hosts are ready',
    );
    await this.until(() => this.leader !== undefined, 10_000, 'a leader is elected');
  }

  /** The host that the store names as leader. */
  get leader() {
    const holder = this.store.get('toucanline/lead/holder');
    return this.hosts.find(({ name }) => name === holder?.host);
  }

  async #addHost(name, more) {
    const ip = `${addressPrefix}.${this.hosts.length + 1}`;
    const [front, ready, first, metrics] = [
      await findFreePort(ip),
      await findFreePort(ip),
      await findFreePort(ip),
      await findFreePort(ip),
    ];
    const file = join(this.#folder, `${name}.conf`);
    const settings = {
      NodeName: name,
      Role: 'host',
      MachineClass: 'front',
      Serves: 'front',
      Ip: ip,
      Zone: 'zone-a',
      Region: 'region',
      'Listen.Front': `${ip}:${front}`,
      'Listen.Readiness': `${ip}:${ready}`,
      PortRange: `${first},${metrics}`,
      'Limits.CpuShare': 0.675,
      'Limits.Cores': 1,
      'Limits.MemoryMb': 350,
      'Limits.LinkMbps': 1000,
      HeartbeatMs: 1500,
      'Bounds.GraceS': 6,
      'Bounds.RevokeMs': 5000,
      'Bounds.MaxHoldMs': 6000,
      'Bounds.StopMs': 400,
      'Bounds.status_s': 120,
      Orders: 'invoke',
      Advice: (await this.advice?.open(name)) ?? '',
      'platform.Address': this.store.address,
      'platform.form': 'kv',
      ...more,
    };
    writeFileSync(
      file,
      Object.entries(settings)
        .map(([key, value]) => `${key}=${value}`)
        .join('\n'),
    );
    const host = {
      name,
      front: `${ip}:${front}`,
      ready: `${ip}:${ready}`,
      metrics,
      file,
    };
    this.hosts.push(host);
    this.startProcess(host);
  }

  startProcess(host) {
    const { command, args, env } = readRole();
    const child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: this.#folder,
        TOUCANLINE_NODE_FILE: host.file,
        ...env,
        TOUCANLINE_METRICS_PORT: String(host.metrics),
      },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    host.process = child;
    let rest = '';
    child.stdout.on('data', (chunk) => {
      const lines = (rest + chunk.toString('utf8')).split('\n');
      rest = lines.pop();
      for (const line of lines) this.log(`${host.name}: ${line}`);
    });
    child.on('exit', (code, signal) => this.log(`${host.name} exits: ${code ?? signal}`));
    this.log(`${host.name} starts, process ${child.pid}`);
  }

  signal(host, name) {
    this.log(`${host.name} gets ${name}`);
    host.process.kill(name);
  }

  async #isReady(host) {
    const { status } = await this.#send(host.ready, 'GET', '/ready').catch(() => ({ status: 0 }));
    return status === 200;
  }

  /** Sends a call of a client; the status is 0 without an answer. */
  async call(host, method, path, body, key = 'key-1') {
    this.log(`client: ${method} ${path} at ${host.name} ${body ? JSON.stringify(body) : ''}`);
    const answer = await this.#send(host.front, method, path, body, key).catch((error) => ({
      status: 0,
      body: String(error.code ?? error.message),
    }));
    this.log(`client: ${method} ${path} -> ${answer.status} ${JSON.stringify(answer.body)}`);
    return answer;
  }

  #send(address, method, path, body, key) {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      const text = body === undefined ? '' : JSON.stringify(body);
      const request = http.request(
        {
          host,
          port: Number(port),
          method,
          path,
          agent: false,
          timeout: 5000,
          headers: {
            host: 'site.example',
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
            ...(key === undefined ? {} : { authorization: `Token ${key}` }),
          },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', reject);
          response.on('end', () => {
            const answer = Buffer.concat(chunks).toString('utf8');
            let decoded = answer;
            try {
              decoded = answer === '' ? {} : JSON.parse(answer);
            } catch {
              // Not JSON; kept as text.
            }
            resolve({ status: response.statusCode, body: decoded });
          });
        },
      );
      request.on('timeout', () => request.destroy(new Error('no answer')));
      request.on('error', reject);
      request.end(text);
    });
  }

  async until(check, timeoutMs, what) {
    const endsAt = performance.now() + timeoutMs;
    while (!(await check())) {
      if (performance.now() > endsAt) throw unable(`not reached: ${what}`);
      await sleep(20);
    }
    this.log(`reached: ${what}`);
  }

  /** Submits a job, at other hosts too if the first does not take it. */
  async submit(host, path, body, key) {
    for (let attempt = 0; attempt < 10; attempt += 1) {
      const { status } = await this.call(host, 'POST', path, body, key);
      if (status === 200) return;
      await sleep(200);
    }
    throw unable(`no host accepts ${path}`);
  }

  get history() {
    return this.runners.flatMap(({ history }) => history);
  }

  stop() {
    for (const { process: child } of this.hosts) child.kill('SIGKILL');
    for (const runner of this.runners) runner.stop();
    this.advice?.stop();
    this.store.stop();
  }

  async close(text) {
    this.log(text);
    await new Promise((resolve) => this.#record.end(resolve));
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Finds pairs of runs of one task that were at work at the same time; a run counts until it is told to stop. */
export const findOverlaps = (history) => {
  const overlaps = [];
  const until = (run) => Math.min(run.stoppingAt ?? Infinity, run.endedAt ?? performance.now());
  for (const [index, a] of history.entries()) {
    for (const b of history.slice(index + 1)) {
      if (a.task !== b.task) continue;
      const ms = Math.min(until(a), until(b)) - Math.max(a.startedAt, b.startedAt);
      if (ms > 0) overlaps.push({ a, b, ms: Math.round(ms) });
    }
  }
  return overlaps;
};

export const describeOverlap = ({ a, b, ms }) =>
  `TWICE: ${a.task} runs on ${a.runner} (run ${a.run}, token ${a.token}) and on ${b.runner} (run ${b.run}, token ${b.token}) at the same time for ${ms} ms`;

/** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (folder, play) => {
  const site = new Site(folder);
  const limit = setTimeout(() => {
    site.stop();
    console.log('the case took too long');
    process.exit(2);
  }, 110_000);
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.once(signal, () => {
      site.stop();
      process.exit(2);
    });
  }
  let code = 0;
  let message = 'the rule held';
  try {
    await site.startStore();
    await play(site);
  } catch (error) {
    code = error.code === 1 || error.code === 2 ? error.code : 2;
    message = code === 2 ? `the case could not run: ${error.stack}` : error.message;
  }
  clearTimeout(limit);
  site.stop();
  await sleep(200);
  await site.close(message);
  console.log(message);
  process.exit(code);
};
