import { expect } from 'chai';
import type { Abuse } from '../src/Abuse.js';
import { abuses } from '../src/abuses.js';
import { AbusiveClients } from '../src/AbusiveClients.js';
import { Caller, exampleDocument, Site, sleep, waitUntil } from '../src/index.js';
import { PlatformSite } from '../src/PlatformSite.js';
import { ProcessUsage } from '../src/ProcessUsage.js';

/** Limits of the machine in the settings, which are also the bounds of these tests. */
const memoryMb = 210;
const maxDescriptors = 600;

const size = { processors: 1, memoryMb: 256, accelerators: 0 };
const job = { Spec: 'ms=10', Steps: [{ Count: 1, Cpu: 100, MemMb: 10, EstimateMs: 10 }] };
const bodyPath = '/renders/00000000000000aa';

/** Number of ordinary calls while the abusive connections stay open: what they sent is still being read. */
const ordinaryCalls = 30;
/** Pause between them, in milliseconds. */
const callPauseMs = 100;

/** A target of abuse: an address, and a process that has to survive. */
interface Target {
  readonly address: string;
  readonly pid: number;
  /** Sends one ordinary request and returns the status of its response. */
  readonly call: () => Promise<number>;
}

/** Opens abusive connections, and checks the process while they stay open. */
const check = async (target: Target, count: number, abuse: Abuse): Promise<void> => {
  const clients = new AbusiveClients();
  const usage = new ProcessUsage(target.pid);
  const status = async (): Promise<number> => {
    usage.sample();
    return target.call().catch(() => 0);
  };
  try {
    await clients.open(target.address, count, abuse, () => {
      usage.sample();
    });
    for (let count = 1; count < ordinaryCalls; count += 1) {
      await status();
      await sleep(callPauseMs);
    }
    await waitUntil(async () => (await status()) === 200, 20_000, 'an ordinary call is answered');
    expect(usage.readPeakMemoryMb(), 'peak memory in MB').to.be.below(memoryMb);
    expect(usage.maxDescriptors, 'open descriptors').to.be.below(maxDescriptors);
  } finally {
    clients.close();
  }
};

const fetchStatus = async (url: string): Promise<number> => {
  const response = await fetch(url, { signal: AbortSignal.timeout(5000) });
  await response.arrayBuffer();
  return response.status;
};

// Each test guards against a process that ends, exceeds the memory or the descriptors of its machine, or no longer
// answers, because of callers that send what its title says.
describe('untrusted callers of a host', () => {
  let site: PlatformSite;
  let nextJob = 1;

  beforeEach(async () => {
    site = new PlatformSite({
      settingsLines: [`Limits.MemoryMb=${memoryMb}`, `Limits.MaxFds=${maxDescriptors}`],
      nodeOptions: '--max-old-space-size=140',
      maxBodyBytes: 1_000_000,
    });
    await site.start(1, 1);
  });
  afterEach(() => {
    site.stop();
  });

  const checkHost = async (
    port: 'callerAddress' | 'readinessAddress' | 'metricsAddress' | 'linkAddress',
    count: number,
    abuse: Abuse,
  ): Promise<void> => {
    const [host] = site.hosts;
    if (host === undefined) throw new Error('no host');
    const call = async (): Promise<number> => {
      const path = `/renders/${(nextJob += 1).toString(16).padStart(16, '0')}`;
      const { status } = await site.call(host, 'POST', path, job);
      return status === 200 ? fetchStatus(`http://${host.readinessAddress}/ready`) : status;
    };
    const target = { address: host[port], pid: host.process.pid ?? 0, call };
    await check(target, count, abuse);
  };

  it('send unfinished bodies in large chunks', () =>
    checkHost('callerAddress', 550, abuses.unfinishedChunks(bodyPath, 20_000, 260_000)));
  it('send unfinished bodies in very small chunks', () =>
    checkHost('callerAddress', 40, abuses.unfinishedChunks(bodyPath, 1, 100_000)));
  it('send unfinished bodies of a declared length', () =>
    checkHost('callerAddress', 250, abuses.unfinishedLength(bodyPath, 1_000_000, 900_000)));
  it('send bodies over the limit without a declaration', () =>
    checkHost('callerAddress', 200, abuses.unfinishedChunks(bodyPath, 20_000, 1_200_000)));
  it('send bodies whose declared length is over the limit', () =>
    checkHost('callerAddress', 200, abuses.unfinishedLength(bodyPath, 90_000_000, 1_200_000)));
  it('pipeline requests to the readiness path and leave the responses unread', () =>
    checkHost('readinessAddress', 40, abuses.unreadResponses('/ready', 60_000)));
  it('pipeline requests for the state of jobs and leave the responses unread', () =>
    checkHost('callerAddress', 40, abuses.unreadResponses(bodyPath, 30_000)));
  it('pipeline requests for metrics and leave the responses unread', () =>
    checkHost('metricsAddress', 40, abuses.unreadResponses('/metrics', 10_000)));
  it('send heads that never end', () =>
    checkHost('callerAddress', 700, abuses.endlessHead(bodyPath, 500)));
  it('open many idle connections to the port of callers', () =>
    checkHost('callerAddress', 700, abuses.idle));
  it('open many idle connections to the readiness port', () =>
    checkHost('readinessAddress', 700, abuses.idle));
  it('open many idle connections to the port of links', () =>
    checkHost('linkAddress', 700, abuses.idle));
  it('send unfinished frames to the port of links', () =>
    checkHost('linkAddress', 80, abuses.unfinishedFrame(4_000_000)));
});

describe('untrusted callers of the processes for our own protocols', () => {
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
    count: number,
    abuse: Abuse,
  ): Promise<void> => {
    const [daemon] = site[role];
    if (daemon === undefined) throw new Error('no process');
    const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-planning');
    const call = async (): Promise<number> => {
      const { status } = await caller.submit('gangs', { size, command: 'echo part' });
      return status === 200 ? fetchStatus(`${daemon.url}/readyz`) : status;
    };
    const { settings, pid } = daemon;
    const address = `127.0.0.1:${(settings[port] ?? settings.http).port}`;
    await check({ address, pid, call }, count, abuse);
  };

  const submitPath = '/v1/queues/services/requests';
  it('send unfinished bodies in large chunks to an entry', () =>
    checkProcess('entries', 'http', 550, abuses.unfinishedChunks(submitPath, 20_000, 260_000)));
  it('send unfinished bodies in very small chunks to an entry', () =>
    checkProcess('entries', 'http', 40, abuses.unfinishedChunks(submitPath, 1, 100_000)));
  it('send bodies over the limit to an entry', () =>
    checkProcess('entries', 'http', 550, abuses.unfinishedLength(submitPath, 90_000_000, 300_000)));
  it('pipeline requests to the readiness path of an entry and leave the responses unread', () =>
    checkProcess('entries', 'http', 40, abuses.unreadResponses('/readyz', 60_000)));
  it('open many idle connections to an entry', () =>
    checkProcess('entries', 'http', 700, abuses.idle));
  it('pipeline requests to the readiness path of a scheduler and leave the responses unread', () =>
    checkProcess('schedulers', 'http', 40, abuses.unreadResponses('/readyz', 60_000)));
  it('send heads that never end to a scheduler', () =>
    checkProcess('schedulers', 'http', 700, abuses.endlessHead('/readyz', 500)));
  it('open many idle connections to the link port of a scheduler', () =>
    checkProcess('schedulers', 'link', 700, abuses.idle));
  it('send unfinished frames to the link port of a scheduler', () =>
    checkProcess('schedulers', 'link', 80, abuses.unfinishedFrame(4_000_000)));
});
