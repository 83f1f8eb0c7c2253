import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { HttpWorkerGateway } from '@toucanline/clients';
import type { Authority, Renewal, Report } from '@toucanline/schema';
import { expect } from 'chai';
import { ExecutionMonitor, WorkerFake } from '../src/index.js';

const capacity = { processors: 2, memoryMb: 1024, accelerators: 0 };

/** Forwards connections to a worker, counts their bytes and can make them silent. */
class CountingProxy {
  public connections = 0;
  public bytes = 0;
  readonly #server: Server;
  readonly #sockets: Socket[] = [];

  public constructor(readTarget: () => number) {
    this.#server = createServer((socket) => {
      const worker = connect(readTarget(), '127.0.0.1');
      this.connections += 1;
      this.#sockets.push(socket, worker);
      for (const [from, to] of [
        [socket, worker],
        [worker, socket],
      ] as const) {
        from.on('data', (data: Buffer) => {
          this.bytes += data.length;
          to.write(data);
        });
        from.on('close', () => to.destroy());
        from.on('error', () => to.destroy());
      }
    });
  }

  public async start(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Makes the open connections silent permanently. */
  public freeze(): void {
    for (const socket of this.#sockets) socket.removeAllListeners('data').pause();
  }

  public stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}

describe('long-poll renewals of a worker', () => {
  const monitor = new ExecutionMonitor();
  let worker: WorkerFake;
  let gateway: HttpWorkerGateway;
  let proxy: CountingProxy;
  let address: string;

  beforeEach(async () => {
    worker = new WorkerFake({ id: 'w', dataCentre: 'dc1', rack: 'r', capacity }, monitor);
    await worker.start();
    proxy = new CountingProxy(() => Number(worker.address.split(':')[1]));
    address = await proxy.start();
    gateway = new HttpWorkerGateway();
  });
  afterEach(async () => {
    await gateway.close();
    worker.stop();
    proxy.stop();
  });

  const createRenewal = (change: Partial<Renewal> = {}, epoch = 5): Renewal => {
    const authority: Authority = {
      shard: 's1',
      epoch,
      owner: 'a',
      provisional: false,
      bootId: '',
    };
    return { authority, leaseUntil: 1e9, acknowledged: 0, full: true, waitMs: 0, ...change };
  };
  const renew = async (renewal: Renewal): Promise<Report | string> =>
    (await gateway.renewLease(address, renewal)).match(
      (report) => report,
      (error) => ('refusal' in error ? error.refusal : error.kind),
    );
  const hold = async (change: Partial<Renewal> = {}, epoch = 5): Promise<Report | string> => {
    const held = { full: false, acknowledged: 1, waitMs: 20, ...change };
    return renew(createRenewal(held, epoch));
  };

  // Guards against a whole HTTP exchange for each poll, most of whose bytes would be headers.
  it('share a connection and cost few bytes each', async () => {
    const report = await renew(createRenewal());
    const bootId = typeof report === 'string' ? '' : report.bootId;
    const authority = { ...createRenewal().authority, bootId };
    await hold({ authority });
    const { connections, bytes } = proxy;
    for (let count = 1; count <= 10; count += 1) {
      const leaseUntil = 1e9 + count;
      const held = await hold({ authority, leaseUntil });
      expect(held).to.include({ worker: 'w', leaseUntil });
    }
    expect(proxy.connections).to.equal(connections);
    expect(proxy.bytes - bytes).to.be.below(10 * 100);
  });

  // Guards against a leaving worker that reports it only when the wait of the poll ends.
  it('are answered at once on a change', async () => {
    await renew(createRenewal());
    await hold();
    const held = hold({ waitMs: 5000 });
    const startedAt = performance.now();
    setTimeout(() => {
      worker.startLeaving();
    }, 50);
    expect(await held).to.include({ state: 'leaving' });
    expect(performance.now() - startedAt).to.be.below(1000);
  });

  // Guards against a stream that stays in use after its connection became silent, or by a superseded owner.
  it('fail in time on a silent connection, and the next one uses a new connection', async () => {
    await renew(createRenewal());
    await hold();
    proxy.freeze();
    const startedAt = performance.now();
    expect(await hold()).to.equal('timeout');
    expect(performance.now() - startedAt).to.be.within(3900, 5000);
    expect(await hold()).to.include({ worker: 'w' });
  });

  it('are refused after another owner has renewed, and interrupted on request', async () => {
    await renew(createRenewal());
    await hold();
    const held = hold({ waitMs: 5000 });
    setTimeout(() => {
      gateway.interruptRenewal(address);
    }, 50);
    expect(await held).to.equal('timeout');
    expect(await hold()).to.include({ worker: 'w' });
    const other = new HttpWorkerGateway();
    await other.renewLease(address, createRenewal({}, 6));
    await other.close();
    expect(await hold()).to.equal('staleEpoch');
    expect(await hold({}, 7)).to.include({ worker: 'w' });
  });
});
