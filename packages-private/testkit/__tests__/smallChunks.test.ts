import { once } from 'node:events';
import { connect } from 'node:net';
import { expect } from 'chai';
import { request } from 'undici';
import type { Abuse } from '../src/Abuse.js';
import { abuses } from '../src/abuses.js';
import { Crowd } from '../src/Crowd.js';
import { sleep, waitUntil } from '../src/index.js';
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
    return target.call().catch(() => 0);
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
  const checkHost = async (abuse: Abuse): Promise<void> => {
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
    await check({ address: host.callerAddress, pid: host.process.pid ?? 0, call }, abuse);
  };

  it('in bodies that stop just short of the default limit', async () => {
    await startSite(262_144);
    await checkHost(abuses.unfinishedChunks(bodyPath, 1, 250_000));
  });

  it('in whole bodies within the default limit', async () => {
    await startSite(262_144);
    await checkHost(abuses.smallChunks(bodyPath, 250_000));
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
