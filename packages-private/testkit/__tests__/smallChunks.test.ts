import { once } from 'node:events';
import { connect } from 'node:net';
import type { Hello } from '@toucanline/schema';
import { expect } from 'chai';
import { request } from 'undici';
import type { Abuse } from '../src/Abuse.js';
import { abuses } from '../src/abuses.js';
import { Crowd } from '../src/Crowd.js';
import { Caller, exampleDocument, Site, sleep, waitUntil } from '../src/index.js';
import { PlatformSite } from '../src/PlatformSite.js';
import { ProcessUsage } from '../src/ProcessUsage.js';

/** Limits of the machine in the settings, which are also the bounds of these tests. */
const memoryMb = 210;
const maxDescriptors = 600;
const nodeOptions = '--max-old-space-size=140';

/** The crowd: number of clients and time for which they connect again and again. */
const clients = 150;
const durationMs = 10_000;
/** Pause between ordinary calls, in milliseconds. */
const callPauseMs = 100;
/** Time after which an ordinary call is given up, in milliseconds. */
const callTimeoutMs = 5000;

const size = { processors: 1, memoryMb: 256, accelerators: 0 };
const job = { Spec: 'ms=10', Steps: [{ Count: 1, Cpu: 100, MemMb: 10, EstimateMs: 10 }] };
const bodyPath = '/renders/00000000000000aa';

/** A target of abuse: an address, and a process that has to survive. */
interface Target {
  readonly address: string;
  readonly pid: number;
  /** Sends one ordinary request and returns the status of its response. */
  readonly call: () => Promise<number>;
}

/** Runs a crowd beside ordinary calls, and checks the process afterwards. */
const check = async (target: Target, abuse: Abuse): Promise<void> => {
  const crowd = new Crowd({ address: target.address, clients, durationMs, abuse });
  const usage = new ProcessUsage(target.pid);
  const status = async (): Promise<number> => {
    usage.sample();
    return Promise.race([target.call().catch(() => 0), sleep(callTimeoutMs).then(() => 0)]);
  };
  try {
    crowd.start();
    while (crowd.isRunning) {
      await status();
      await sleep(callPauseMs);
    }
    await waitUntil(async () => (await status()) === 200, 20_000, 'an ordinary call is answered');
    expect(usage.readPeakMemoryMb(), 'peak memory in MB').to.be.below(memoryMb);
    expect(usage.maxDescriptors, 'open descriptors').to.be.below(maxDescriptors);
  } finally {
    crowd.stop();
  }
};

// Guards against a process that ends, exceeds the memory of its machine or no longer answers, because one byte of a
// body in a chunk of its own costs much more memory and time than the byte that it carries.
describe('very small chunks from callers of a host that connect again and again', () => {
  let site: PlatformSite;
  let nextJob = 1;

  const startSite = async (maxBodyBytes: number): Promise<void> => {
    site = new PlatformSite({
      settingsLines: [`Limits.MemoryMb=${memoryMb}`, `Limits.MaxFds=${maxDescriptors}`],
      nodeOptions,
      maxBodyBytes,
    });
    await site.start(1, 1);
  };
  afterEach(() => {
    site.stop();
  });

  const nextPath = (): string => `/renders/${(nextJob += 1).toString(16).padStart(16, '0')}`;
  const checkHost = async (
    abuse: Abuse,
    port: 'callerAddress' | 'readinessAddress' | 'linkAddress' = 'callerAddress',
  ): Promise<void> => {
    const [host] = site.hosts;
    if (host === undefined) throw new Error('no host');
    const call = async (): Promise<number> => {
      const { status } = await site.call(host, 'POST', nextPath(), job);
      if (status !== 200) return status;
      const response = await request(`http://${host.readinessAddress}/ready`, {
        signal: AbortSignal.timeout(5000),
      });
      await response.body.dump();
      return response.statusCode;
    };
    await check({ address: host[port], pid: host.process.pid ?? 0, call }, abuse);
  };

  it('in bodies that stop just short of the default limit', async () => {
    await startSite(262_144);
    await checkHost(abuses.unfinishedChunks(bodyPath, 1, 250_000));
  });

  it('in whole bodies within the default limit', async () => {
    await startSite(262_144);
    await checkHost(abuses.smallChunks(bodyPath, 250_000));
  });

  it('in bodies to the readiness path', async () => {
    await startSite(262_144);
    await checkHost(abuses.smallChunks('/ready', 250_000), 'readinessAddress');
  });

  it('in frames without a body to the port of links', async () => {
    await startSite(262_144);
    await checkHost(abuses.emptyFrames(400_000), 'linkAddress');
  });

  it('in small calls to the port of links', async () => {
    await startSite(262_144);
    const hello: Hello = {
      type: 'hello',
      protocol: 1,
      environment: 'test',
      process: 'host-9',
      role: 'host',
      dataCentre: 'dc1',
    };
    await checkHost(abuses.smallCalls(hello, 100_000), 'linkAddress');
  });

  // Guards against a limit that refuses a caller inside the limits because of the form in which it sends its body.
  it('in calm, in a single body of the largest size', async () => {
    await startSite(262_144);
    const [address = '', port = '0'] = (site.hosts[0]?.callerAddress ?? '').split(':');
    const chunks = JSON.stringify(job).padEnd(262_144).replace(/./g, '1\r\n$&\r\n');
    const head = `POST ${nextPath()} HTTP/1.1\r\nhost: site.example\r\nauthorization: Token key-1\r\n`;
    const socket = connect(Number(port), address);
    try {
      socket.write(`${head}transfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
      const [answer] = (await once(socket, 'data')) as [Buffer];
      expect(answer.toString()).to.match(/^HTTP\/1.1 200 /);
    } finally {
      socket.destroy();
    }
  });
});

// Guards against the same failures of the processes for our own protocols.
describe('very small chunks from callers of our own protocols that connect again and again', () => {
  let site: Site;

  beforeEach(async () => {
    site = new Site({
      document: exampleDocument,
      dataCentres: ['dc1'],
      entriesPerDataCentre: 1,
      schedulersPerDataCentre: 1,
      workersPerDataCentre: 1,
      teams: ['planning'],
      limits: { memoryMb, maxDescriptors },
    });
    await site.start();
  });
  afterEach(() => site.stop());

  const checkProcess = async (
    role: 'entries' | 'schedulers',
    port: 'http' | 'link',
    abuse: Abuse,
  ): Promise<void> => {
    const [daemon] = site[role];
    if (daemon === undefined) throw new Error('no process');
    const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-planning');
    const call = async (): Promise<number> => {
      const { status } = await caller.submit('gangs', { size, command: 'echo part' });
      if (status !== 200) return status;
      const response = await request(`${daemon.url}/readyz`, {
        signal: AbortSignal.timeout(5000),
      });
      await response.body.dump();
      return response.statusCode;
    };
    const { settings, pid } = daemon;
    const address = `127.0.0.1:${(settings[port] ?? settings.http).port}`;
    await check({ address, pid, call }, abuse);
  };

  const submitPath = '/v1/queues/services/requests';
  it('in whole bodies to an entry', () =>
    checkProcess('entries', 'http', abuses.smallChunks(submitPath, 250_000)));
  it('in bodies to an entry that stop just short of its limit', () =>
    checkProcess('entries', 'http', abuses.unfinishedChunks(submitPath, 1, 250_000)));
  it('in bodies to the readiness path of a scheduler', () =>
    checkProcess('schedulers', 'http', abuses.smallChunks('/readyz', 250_000)));
  it('in frames without a body to the link port of a scheduler', () =>
    checkProcess('schedulers', 'link', abuses.emptyFrames(400_000)));
  it('in small calls to the link port of a scheduler', () => {
    const hello: Hello = {
      type: 'hello',
      protocol: 1,
      environment: 'test',
      process: 'e9-dc1',
      role: 'entry',
      dataCentre: 'dc1',
    };
    return checkProcess('schedulers', 'link', abuses.smallCalls(hello, 100_000));
  });
});
