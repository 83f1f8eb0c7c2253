import { StoreDecoder, WorkerClient, type PlacementAdvisor } from '@toucanline/jobs';
import type {
  JobRecord,
  RunStart,
  SiteConfiguration,
  WorkerEntry,
  WorkerReport,
} from '@toucanline/schema';
import { expect } from 'chai';
import { EventLog, HostMetrics, computeHostTimes } from '../src/index.js';
import { LeaderController } from '../src/LeaderController.js';
import { LeaderLease } from '../src/LeaderLease.js';
import { storeKeys } from '../src/storeKeys.js';
import type { MemoryStore } from './MemoryStore.js';
import { OperatorStore } from './OperatorStore.js';

const boundMs = 2000;
const size = { milliProcessors: 1000, memoryMb: 100, accelerators: 0 };

class JsonDecoder extends StoreDecoder {
  public override readonly configurationKey = 'configuration';
  public override readonly workerPrefix = 'workers/';
  public override readonly evacuationPrefix = 'evacuations/';

  public override decodeConfiguration(value: string): SiteConfiguration {
    return JSON.parse(value) as SiteConfiguration;
  }

  public override decodeWorker(_key: string, value: string): WorkerEntry {
    return JSON.parse(value) as WorkerEntry;
  }
}

/** Workers that accept every start and run each task for ever. */
class RecordingWorkers extends WorkerClient {
  public readonly starts: {
    readonly worker: string;
    readonly task: string;
    readonly leftMs: number;
  }[] = [];

  public override start(worker: WorkerEntry, { task, leaseUntilMs }: RunStart) {
    const clockMs = performance.now();
    this.starts.push({ worker: worker.id, task, leftMs: leaseUntilMs - clockMs });
    return Promise.resolve({ outcome: 'started' as const, clockMs });
  }

  public override stop(): ReturnType<WorkerClient['stop']> {
    return Promise.resolve('confirmed');
  }

  public override async requestReport(
    ...[worker, , , , waitMs]: Parameters<WorkerClient['requestReport']>
  ): Promise<WorkerReport> {
    await new Promise((resolve) => setTimeout(resolve, Math.min(waitMs, 50)));
    const running = this.starts
      .filter((start) => start.worker === worker.id)
      .map(({ task }) => ({ task, run: 1, checkpoint: '', percent: 100, load: 0 }));
    return { life: 1, clockMs: performance.now(), running, ended: [] };
  }

  public override releaseAddress(): void {
    // The test keeps no connections.
  }
}

/** Store whose list of jobs is answered only when the test allows it. */
class SlowStore extends OperatorStore {
  public allowJobs: () => void = () => undefined;
  readonly #jobsAllowed = new Promise<void>((resolve) => {
    this.allowJobs = resolve;
  });

  public override async list(prefix: string): ReturnType<MemoryStore['list']> {
    if (prefix === storeKeys.jobPrefix) await this.#jobsAllowed;
    return super.list(prefix);
  }
}

const site: SiteConfiguration = {
  version: 1,
  queues: [
    {
      name: 'batch',
      host: 'h',
      prefix: '/batch/',
      service: 'render',
      priority: 1,
      maxAttempts: 2,
      stretch: 4,
      objectiveMs: 3000,
      isOpen: false,
    },
  ],
  services: [{ name: 'render', enforcesCapacity: false, isSpare: false }],
  accounts: [{ name: 'planning', weight: 1, keys: [] }],
  maxBodyBytes: 1000,
};

const createJob = (id: string): JobRecord => ({
  id,
  queue: 'batch',
  account: 'planning',
  specification: {
    payload: '',
    steps: [{ taskCount: 1, size, estimateMs: 1000, dependsOn: [] }],
  },
  acceptedAtMs: Date.now(),
  isCancelled: false,
});

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

describe('a leader with a bound for evacuations', () => {
  let store: SlowStore;
  let workers: RecordingWorkers;
  let controller: LeaderController;
  let renewals: NodeJS.Timeout;

  const startLeader = (evacuationMs: number | undefined): void => {
    const lease = new LeaderLease(1, store.put(storeKeys.holder, 'leader'), 1);
    const renew = (): void => {
      lease.recordRenewal(performance.now(), Date.now());
    };
    renew();
    renewals = setInterval(renew, 100);
    const metrics = new HostMetrics();
    controller = new LeaderController(
      {
        store,
        decoder: new JsonDecoder(),
        workerClient: workers,
        advisor: {} as unknown as PlacementAdvisor,
        listPeerLinks: () => [],
        times: computeHostTimes({
          stopMs: 100,
          maxLeaseMs: 6000,
          statusMs: 120_000,
          revokeMs: 5000,
          graceMs: 6000,
          ...(evacuationMs !== undefined && { evacuationMs }),
        }),
        durationEstimates: 'declared',
        onForecast: () => undefined,
        processors: 1,
        log: new EventLog('test', metrics),
        metrics,
        onLeaseLost: () => undefined,
        onResign: () => Promise.resolve(),
        isOutranked: () => false,
      },
      lease,
      site,
    );
    void controller.start();
  };

  const submit = (id: string): void => {
    const value = JSON.stringify(createJob(id));
    const key = storeKeys.jobPrefix + id;
    controller.addAnnouncedJob(key, value, store.put(key, value));
  };

  const waitForStart = async (job: string): Promise<(typeof workers.starts)[number]> => {
    const endsAt = performance.now() + 10_000;
    for (;;) {
      const start = workers.starts.find(({ task }) => task.startsWith(job));
      if (start !== undefined) return start;
      if (performance.now() > endsAt) throw new Error(`${job} has not started within 10 s`);
      await sleep(10);
    }
  };

  beforeEach(() => {
    store = new SlowStore();
    workers = new RecordingWorkers();
    for (const [id, dataCentre] of [
      ['w1', 'dc1'],
      ['w2', 'dc2'],
    ] as const) {
      const entry: WorkerEntry = {
        id,
        life: 1,
        service: 'render',
        address: `${id}:1`,
        dataCentre,
        isDraining: false,
        capacity: { ...size, milliProcessors: 8000, memoryMb: 1000 },
        labels: [],
      };
      store.put(`workers/${id}`, JSON.stringify(entry));
    }
  });

  afterEach(() => {
    clearInterval(renewals);
    controller.stop();
  });

  // Guards against a start in a data centre that is evacuated while the stored state is loaded: the request is neither
  // part of what was read before nor of what is watched afterwards.
  it('starts nothing in a data centre that is evacuated while the state is loaded', async () => {
    const key = `${storeKeys.jobPrefix}a`;
    store.put(key, JSON.stringify(createJob('a')));
    startLeader(boundMs);
    await sleep(100);
    store.evacuate('dc1');
    await sleep(100);
    store.allowJobs();
    expect((await waitForStart('a')).worker).to.equal('w2');
    for (const id of ['b', 'c', 'd']) submit(id);
    for (const id of ['b', 'c', 'd']) expect((await waitForStart(id)).worker).to.equal('w2');
    store.withdraw('dc1');
    store.evacuate('dc2');
    await sleep(boundMs);
    submit('e');
    expect((await waitForStart('e')).worker).to.equal('w1');
  });

  // Guards against starts after the bound: with a view that is too old, or with a lease that outlives the bound, so that
  // a delayed start is executed after it.
  it('limits the leases of starts, and starts nothing while its view is too old', async () => {
    store.allowJobs();
    startLeader(boundMs);
    await sleep(200);
    submit('a');
    const { leftMs } = await waitForStart('a');
    expect(leftMs).to.be.within(1, boundMs);
    store.evacuationFault = 'silent';
    await sleep(boundMs);
    submit('b');
    await sleep(500);
    expect(workers.starts.map(({ task }) => task)).to.deep.equal(['a.0.0.0']);
  });

  // Guards against calls and shorter leases on sites that do not evacuate data centres.
  it('does nothing of this without a bound', async () => {
    store.allowJobs();
    store.evacuate('dc1');
    store.evacuate('dc2');
    startLeader(undefined);
    await sleep(200);
    submit('a');
    expect((await waitForStart('a')).leftMs).to.be.above(5000);
    expect(store.evacuationCalls).to.equal(0);
  });
});
