import { HttpWorkerGateway } from '@toucanline/clients';
import type { Authority, TaskStart } from '@toucanline/schema';
import { expect } from 'chai';
import { ExecutionMonitor, WorkerFake } from '../src/index.js';

const capacity = { processors: 2, memoryMb: 1024, accelerators: 0 };

describe('the fake worker of the testkit', () => {
  // Guards against a fake that is more lenient than a worker of the platform: tests of owners would then
  // pass without the fencing that they require.
  const monitor = new ExecutionMonitor();
  const worker = new WorkerFake({ id: 'w', dataCentre: 'dc1', rack: 'r', capacity }, monitor);
  const gateway = new HttpWorkerGateway();
  const createAuthority = (epoch: number, owner: string, provisional = false): Authority => ({
    shard: 's1',
    epoch,
    owner,
    provisional,
    bootId: '',
  });
  const renew = async (authority: Authority): Promise<string> => {
    const renewal = { authority, leaseUntil: 1e9, acknowledged: 0, full: true, waitMs: 0 };
    return (await gateway.renewLease(worker.address, renewal)).match(
      () => 'granted',
      (error) => ('refusal' in error ? error.refusal : error.kind),
    );
  };
  const start = async (change: Partial<TaskStart>, attempt: number): Promise<string> => {
    const request = {
      id: 's1.q',
      digest: 'd',
      team: 'a',
      queue: 'q',
      kind: 'batch',
      idempotent: true,
      urgent: false,
      checkpointable: false,
      detached: false,
      tasks: 1,
      size: capacity,
      command: 'serve',
      runTimeMs: 1000,
    } as const;
    const response = await gateway.startTask(worker.address, {
      authority: createAuthority(5, 'b'),
      assignment: { taskId: `s1.q/0/5.${attempt}`, index: 0, attempt, request },
      latestStartAt: 1e9,
      leaseUntil: 1e9,
      ...change,
    });
    return response.match(
      () => 'started',
      (error) => ('refusal' in error ? error.refusal : error.kind),
    );
  };

  before(() => worker.start());
  after(async () => {
    worker.stop();
    await gateway.close();
  });

  it('refuses an older epoch, another owner of the same epoch, and a claim on a lease that is held', async () => {
    expect(await renew(createAuthority(5, 'b'))).to.equal('granted');
    expect(await renew(createAuthority(4, 'a'))).to.equal('staleEpoch');
    expect(await renew(createAuthority(5, 'a'))).to.equal('staleEpoch');
    expect(await renew(createAuthority(6, 'a', true))).to.equal('leaseHeld');
    expect(await start({ authority: createAuthority(4, 'a') }, 1)).to.equal('staleEpoch');
    expect(await start({ authority: createAuthority(5, 'a') }, 1)).to.equal('staleEpoch');
  });

  it('refuses a late start, a start from before its restart, and one that exceeds its capacity', async () => {
    expect(await start({ latestStartAt: 1 }, 1)).to.equal('tooLate');
    const previousBoot = { ...createAuthority(5, 'b'), bootId: 'former' };
    expect(await start({ authority: previousBoot }, 1)).to.equal('wrongBoot');
    expect(await start({}, 1)).to.equal('started');
    expect(await start({}, 1)).to.equal('duplicate');
    expect(await start({}, 2)).to.equal('noRoom');
    expect(monitor.violations).to.have.length(1);
  });
});
