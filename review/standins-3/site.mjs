import { spawn } from 'node:child_process';
import { existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { Runner } from './runner.mjs';
import { sleep, Store } from './store.mjs';

/** Program of the deploy file, and how it is started there. */
const program = 'target/toucanline-host.mjs';
const nodeOption = '--max-old-space-size=140';
const root = resolve(import.meta.dirname, '../..');

/** Bounds of klsu-toucan, as its sheet in SYSTEM.md gives them. */
const bounds = { stopMs: 400, maxHoldMs: 6000, heartbeatMs: 1500 };
const settingsOfBounds = [
  'Bounds.ContactMs=3000',
  'Bounds.AckMs=4000',
  'Bounds.DrainMs=2000',
  'Bounds.GraceS=6',
  'Bounds.ConfigMs=2000',
  'Bounds.RevokeMs=5000',
  'Bounds.StrictRevoke=true',
  'Bounds.MaxHoldMs=6000',
  'Bounds.StopMs=400',
  'Bounds.GangWaitMs=3000',
  'Bounds.cancel_ms=3000',
  'Bounds.visible_ms=3000',
  'Bounds.early_ms=250',
  'Bounds.finish_s=14',
  'Bounds.status_s=120',
];

const findFreePort = () =>
  new Promise((found) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => found(port));
    });
  });

/** A small deployment: hosts as processes of their own, with stand-ins of the platform in this process. */
export class Site {
  store = new Store();
  runners = [];
  hosts = [];
  #lines = [];
  #startedAt = performance.now();
  #recordPath;
  #folder = mkdtempSync(join(tmpdir(), 'review-3-'));
  #version = 0;

  /** @param folder - folder of the case, in which `record.txt` is written */
  constructor(folder) {
    this.#recordPath = join(folder, 'record.txt');
    if (!existsSync(join(root, program))) {
      process.stderr.write(`${program} is missing: run the build of deploy/system.toml\n`);
      process.exit(2);
    }
    const end = () => {
      this.stop();
      process.exit(2);
    };
    process.on('SIGTERM', end);
    process.on('SIGINT', end);
    process.on('uncaughtException', (error) => {
      this.note('error', { detail: String(error?.stack ?? error) });
      process.stderr.write(`the case could not run: ${String(error?.stack ?? error)}\n`);
      this.stop();
      process.exit(2);
    });
  }

  /** Seconds since the start of the case. */
  get now() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  /** Records what was sent, answered or run. */
  note = (event, fields = {}) => {
    const text = Object.entries(fields)
      .map(
        ([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
      )
      .join(' ');
    this.#lines.push(`${this.now.toFixed(3)} ${event} ${text}`);
  };

  /** Writes a configuration, as the operator. */
  configure({ routes, services, tenants }) {
    this.#version += 7;
    const value = {
      Version: this.#version,
      Routes: routes.map((route) => ({
        Host: 'site.example',
        Kind: 'unsafe',
        TimeoutMs: 3000,
        SloMs: 1000,
        Priority: 1,
        MaxAttempts: 2,
        Stretch: 2.2,
        Public: false,
        ...route,
      })),
      Services: services.map((name) => ({
        Name: name,
        HealthPath: '/health',
        MaxConns: 64,
        Protocol: 'h1',
        Tls: false,
        EnforcesCapacity: false,
        Spare: false,
      })),
      Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 262144 },
      Tenants: tenants,
    };
    this.store.put('op/config', value);
    this.note('config', { version: this.#version });
  }

  async addRunner(options) {
    const runner = new Runner({
      labels: ['a', 'r1-1'],
      zone: 'zone-a',
      ...options,
      store: this.store,
      record: this.note,
      bounds,
    });
    await runner.start();
    this.runners.push(runner);
    return runner;
  }

  /** Starts a host with the command of the deploy file. */
  async addHost(name, extra = []) {
    const [front, readiness, first, last, metrics] = [
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
    ];
    const file = join(this.#folder, `${name}.conf`);
    const lines = [
      `NodeName=${name}`,
      'Role=host',
      'MachineClass=front',
      'Serves=front',
      'Ip=127.0.0.1',
      'Zone=zone-a',
      'Region=region',
      'Zones.zone-a=region',
      `Listen.Front=127.0.0.1:${front}`,
      `Listen.Readiness=127.0.0.1:${readiness}`,
      `PortRange=${first},${last}`,
      'Bootstrap=true',
      'Limits.CpuShare=0.675',
      'Limits.Cores=1',
      'Limits.MemoryMb=350',
      'Limits.MaxFds=4100',
      'Limits.LinkMbps=1000.0',
      'Discovery=platform',
      'Entry=vip',
      'HeartbeatMs=1500',
      'Contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing',
      ...settingsOfBounds,
      'Orders=invoke',
      'Advice=127.0.0.1:9',
      `platform.Address=${this.store.address}`,
      'platform.form=kv',
      'platform.ValueBytes=1048576',
      'platform.TtlMinMs=1000',
      ...extra,
    ];
    writeFileSync(file, lines.join('\n'));
    const host = { name, front, readiness, metrics, file, exits: [] };
    this.hosts.push(host);
    this.#spawn(host);
    return host;
  }

  #spawn(host) {
    const output = openSync(join(this.#folder, `${host.name}.log`), 'a');
    const child = spawn(process.execPath, [nodeOption, program], {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? '/',
        LANG: 'C.UTF-8',
        TOUCANLINE_NODE_FILE: host.file,
        TOUCANLINE_METRICS_PORT: String(host.metrics),
      },
      stdio: ['ignore', output, output],
    });
    host.process = child;
    this.note('host-started', { host: host.name });
    child.once('exit', (code, signal) => {
      const byUs = host.isKilled === true || this.isStopped === true;
      if (!byUs) host.exits.push({ at: this.now, code, signal });
      this.note('host-ended', { host: host.name, code, signal, byUs });
      if (this.isStopped === true || host.isGone === true) return;
      host.isKilled = false;
      // The platform starts a process again after a short delay.
      setTimeout(() => {
        if (this.isStopped !== true) this.#spawn(host);
      }, 500);
    });
  }

  /** Kills a host; the platform starts it again. */
  kill(host, signal = 'SIGKILL') {
    host.isKilled = true;
    this.note('kill', { host: host.name, signal });
    host.process.kill(signal);
  }

  log(host) {
    return readFileSync(join(this.#folder, `${host.name}.log`), 'utf8');
  }

  /** Host that holds the leadership, by the log lines of the hosts. */
  get leader() {
    const holder = this.store.get('toucanline/lead/holder');
    return this.hosts.find(({ name }) => name === holder?.host);
  }

  /** Sends a client's call; status 0 means that there was no answer within the client's deadline. */
  call(host, method, path, { body, key, timeoutMs = 3000, quiet = false } = {}) {
    const sentAt = this.now;
    return new Promise((answer) => {
      const text = body === undefined ? '' : JSON.stringify(body);
      const done = (status, reply) => {
        clearTimeout(timer);
        if (!quiet)
          this.note('call', {
            method,
            path,
            host: host.name,
            sent: sentAt.toFixed(3),
            status,
            reply: reply ?? '',
          });
        answer({ status, reply });
      };
      const request = httpRequest(
        {
          host: '127.0.0.1',
          port: host.front,
          method,
          path,
          agent: false,
          headers: {
            host: 'site.example',
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
            'x-deadline': String(timeoutMs),
            ...(key === undefined ? {} : { authorization: `Token ${key}` }),
          },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', () => done(0));
          response.on('end', () => {
            const raw = Buffer.concat(chunks).toString('utf8');
            let reply;
            try {
              reply = JSON.parse(raw);
            } catch {
              reply = raw;
            }
            done(response.statusCode, reply);
          });
        },
      );
      const timer = setTimeout(() => {
        request.destroy();
        done(0);
      }, timeoutMs);
      request.on('error', () => done(0));
      request.end(text);
    });
  }

  isReady(host) {
    return new Promise((answer) => {
      const request = httpRequest(
        { host: '127.0.0.1', port: host.readiness, path: '/ready', agent: false, timeout: 1000 },
        (response) => {
          response.resume();
          answer(response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => answer(false));
      request.end();
    });
  }

  /** Waits until all hosts are ready and one of them leads. */
  async waitUntilReady(timeoutMs = 20_000) {
    const endsAt = performance.now() + timeoutMs;
    for (;;) {
      const ready = await Promise.all(this.hosts.map((host) => this.isReady(host)));
      if (ready.every(Boolean) && this.leader !== undefined) return;
      if (performance.now() > endsAt) throw new Error('the hosts did not become ready');
      await sleep(100);
    }
  }

  /** Ends everything that was started and writes the record. */
  stop() {
    if (this.isStopped === true) return;
    this.isStopped = true;
    for (const host of this.hosts) {
      try {
        host.process.kill('SIGKILL');
      } catch {
        // It has ended already.
      }
    }
    for (const runner of this.runners) runner.crash();
    this.store.stop();
    writeFileSync(this.#recordPath, `${this.#lines.join('\n')}\n`);
    if (process.env.KEEP !== '1') rmSync(this.#folder, { recursive: true, force: true });
    else process.stderr.write(`${this.#folder}\n`);
  }

  /** Ends the case: 1 if the rule was broken, 0 if it held. */
  finish(findings) {
    for (const finding of findings) {
      this.note('broken', { finding });
      process.stdout.write(`${finding}\n`);
    }
    if (findings.length === 0) process.stdout.write('the rule held\n');
    this.stop();
    process.exit(findings.length === 0 ? 0 : 1);
  }
}

export { sleep };
