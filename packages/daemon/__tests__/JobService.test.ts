import {
  ForecastAdmission,
  forecastLimits,
  StoreDecoder,
  type MetadataStore,
} from '@toucanline/jobs';
import {
  validators,
  type JobRecord,
  type JobSpecification,
  type JobState,
  type SiteConfiguration,
} from '@toucanline/schema';
import { expect } from 'chai';
import { ConfigurationWatch } from '../src/ConfigurationWatch.js';
import { EventLog } from '../src/EventLog.js';
import { HostMetrics } from '../src/HostMetrics.js';
import { JobService } from '../src/JobService.js';
import { LeaderClient } from '../src/LeaderClient.js';
import { MonitoredStore } from '../src/MonitoredStore.js';
import { StoreHealth } from '../src/StoreHealth.js';
import { MemoryStore } from './MemoryStore.js';

const id = '00000000000000aa';
const key = `toucanline/job/${id}`;
const specification: JobSpecification = { payload: 'x', steps: [] };

const createConfiguration = (version: number, keys: readonly string[]): SiteConfiguration => ({
  version,
  queues: [
    {
      name: 'batch',
      host: 'h',
      prefix: '/b/',
      service: 's',
      priority: 1,
      maxAttempts: 1,
      stretch: 1,
      objectiveMs: 1,
      isOpen: false,
    },
  ],
  services: [],
  accounts: [{ name: 'planning', weight: 1, keys: [...keys] }],
  maxBodyBytes: 1000,
});

class JsonDecoder extends StoreDecoder {
  public override readonly configurationKey = 'configuration';
  public override readonly workerPrefix = 'workers/';
  public override readonly evacuationPrefix = 'evacuations/';

  public override decodeConfiguration(value: string): SiteConfiguration {
    return JSON.parse(value) as SiteConfiguration;
  }

  public override decodeWorker(): undefined {
    return undefined;
  }
}

/** Leader that does not answer. */
class UnresponsiveLeader extends LeaderClient {
  public override findState(): Promise<JobState | undefined> {
    return Promise.resolve(undefined);
  }

  public override announceJob(): void {
    // The notification may be lost.
  }

  public override countWaiting(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
}

/** Leader that knows each job. */
class KnowingLeader extends UnresponsiveLeader {
  public override findState(): Promise<JobState | undefined> {
    return Promise.resolve('running');
  }
}

const call = { host: 'h', path: `/b/${id}`, key: 'k' };

describe('job service', () => {
  let store: MemoryStore;
  let configuration: ConfigurationWatch;
  let storeHealth: StoreHealth;
  let service: JobService;
  let admission: ForecastAdmission;

  const createService = (
    used: MetadataStore,
    maxAgeMs: number,
    leader: LeaderClient = new UnresponsiveLeader(),
  ): JobService => {
    const log = new EventLog('test', new HostMetrics());
    const metrics = new HostMetrics();
    return new JobService(
      used,
      storeHealth,
      configuration,
      leader,
      log,
      maxAgeMs,
      admission,
      metrics,
    );
  };

  const admit = async (): Promise<Parameters<JobService['submit']>[0]> =>
    (await service.admit(call))._unsafeUnwrap();

  beforeEach(async () => {
    store = new MemoryStore();
    store.put('configuration', JSON.stringify(createConfiguration(1, ['k'])));
    const log = new EventLog('test', new HostMetrics());
    storeHealth = new StoreHealth(log);
    const monitored = new MonitoredStore(store, storeHealth);
    configuration = new ConfigurationWatch(monitored, new JsonDecoder(), log, 1500);
    admission = new ForecastAdmission(() => 0.5);
    service = createService(monitored, 4100);
    await configuration.ensureFresh(0);
  });

  afterEach(() => {
    configuration.stop();
  });

  it('stores a job before it is accepted, and accepts the same job again', async () => {
    const admitted = await admit();
    expect((await service.submit(admitted, specification)).isOk()).to.equal(true);
    expect(store.get(key)).to.include('"account":"planning"');
    expect((await service.submit(admitted, specification)).isOk()).to.equal(true);
    const other = await service.submit(admitted, { payload: 'y', steps: [] });
    expect(other._unsafeUnwrapErr().kind).to.equal('conflictingKey');
  });

  // Guards against jobs whose settings are lost with the memory of a leader (review, case 6).
  it('stores the settings under which a job was accepted', async () => {
    const cap = { milliProcessors: 8000, memoryMb: 0, accelerators: 0 };
    const changed = createConfiguration(2, ['k']);
    const accounts = [{ name: 'planning', weight: 3, keys: ['k'], cap }];
    store.put('configuration', JSON.stringify({ ...changed, accounts }));
    await configuration.ensureFresh(-1);
    await service.submit(await admit(), specification);
    const record = JSON.parse(store.get(key) ?? '') as JobRecord;
    const terms = { service: 's', priority: 1, maxAttempts: 1, stretch: 1, objectiveMs: 1 };
    expect(record.terms).to.deep.equal({ ...terms, weight: 3, cap });
    expect(validators.JobRecord(record)).to.equal(true);
    const { terms: _terms, ...former } = record;
    expect(validators.JobRecord(former)).to.equal(true);
  });

  // Guards against answering 404 to an id with uppercase digits, and against two jobs under one id.
  it('treats an id in uppercase and lowercase as one job', async () => {
    const upper = { ...call, path: `/b/${id.toUpperCase()}` };
    const admitted = (await service.admit(upper))._unsafeUnwrap();
    expect((await service.submit(admitted, specification)).isOk()).to.equal(true);
    expect(store.get(key)).to.include('"account":"planning"');
    const other = await service.submit(await admit(), { payload: 'y', steps: [] });
    expect(other._unsafeUnwrapErr().kind).to.equal('conflictingKey');
  });

  // Guards against refusing a job that was stored, because the answer of the store was lost.
  it('accepts a job if its write took effect without an answer', async () => {
    const admitted = await admit();
    store.fault = 'lost';
    expect((await service.submit(admitted, specification)).isOk()).to.equal(true);
  });

  // Guards against reporting a job as not run although its write takes effect seconds later.
  it('blocks a pending write before it reports that the job does not run', async () => {
    const admitted = await admit();
    store.fault = 'late';
    const refused = await service.submit(admitted, specification);
    expect(refused._unsafeUnwrapErr().kind).to.equal('storeUnavailable');
    store.applyLateCommits();
    expect(store.get(key)).not.to.include('planning');
    expect((await service.findState(admitted))._unsafeUnwrapErr().kind).to.equal('recordMissing');
    expect((await service.submit(admitted, specification)).isOk()).to.equal(true);
    expect(store.get(key)).to.include('planning');
  });

  // Guards against callers that wait until their deadline for a host whose store does not answer, as in a data centre
  // that is cut off (site cpwgo, day scale-1: 11 jobs lost with "deadline").
  it('reports an unknown outcome within 1 s, so that the caller can try another host', async () => {
    const admitted = await admit();
    store.fault = 'late';
    store.hasUnansweredReads = true;
    const startedAt = performance.now();
    const unknown = await service.submit(admitted, specification);
    expect(unknown._unsafeUnwrapErr().kind).to.equal('timeout');
    expect(performance.now() - startedAt).to.be.below(1000);
  });

  it('refuses a job without a write while the store does not answer', async () => {
    const admitted = await admit();
    storeHealth.recordOutcome(false, performance.now());
    const commitsBefore = store.commits;
    const refused = await service.submit(admitted, specification);
    expect(refused._unsafeUnwrapErr().kind).to.equal('notReady');
    expect(refused._unsafeUnwrapErr().retryAfterSeconds).to.equal(1);
    expect(store.commits).to.equal(commitsBefore);
  });

  // Guards against reporting a repeated submission as not run although its first attempt is stored and runs.
  it('accepts a job that the leader knows while the store does not answer', async () => {
    const knowing = createService(store, 4000, new KnowingLeader());
    const admitted = await admit();
    storeHealth.recordOutcome(false, performance.now());
    expect((await knowing.submit(admitted, specification)).isOk()).to.equal(true);
  });

  // Guards against the same if the leader does not answer either.
  it('reports a job as unknown while an earlier attempt at this host is unresolved', async () => {
    const admitted = await admit();
    store.fault = 'late';
    store.hasUnansweredReads = true;
    expect((await service.submit(admitted, specification))._unsafeUnwrapErr().kind).to.equal(
      'timeout',
    );
    storeHealth.recordOutcome(false, performance.now());
    const repeated = await service.submit(admitted, specification);
    expect(repeated._unsafeUnwrapErr().kind).to.equal('timeout');
    expect(repeated._unsafeUnwrapErr().retryAfterSeconds).to.equal(1);
    const other = (await service.admit({ ...call, path: '/b/00000000000000bb' }))._unsafeUnwrap();
    const refused = await service.submit(other, specification);
    expect(refused._unsafeUnwrapErr().kind).to.equal('notReady');
  });

  describe('with a backlog', () => {
    const task: JobSpecification['steps'][number] = {
      taskCount: 1,
      size: { milliProcessors: 1000, memoryMb: 1, accelerators: 0 },
      estimateMs: 100,
      dependsOn: [],
    };
    const work: JobSpecification = { payload: 'x', steps: [task] };

    const applyBacklog = (): void => {
      const sums = forecastLimits.horizonsMs.map(() => 60_000);
      const classes = [{ priority: 1, onTimeMs: sums, overRateMs: sums }];
      const rates = { drainRate: 10, overRateDrainRate: 5, lateMs: 0 };
      const services = [{ service: 's', ...rates, classes }];
      const forecast = { notice: 'forecast', hosts: 1, services, accounts: [] } as const;
      admission.apply(forecast, performance.now());
    };

    it('refuses a job without a write, and accepts it once the backlog is gone', async () => {
      const admitted = await admit();
      applyBacklog();
      const commitsBefore = store.commits;
      const refused = (await service.submit(admitted, work))._unsafeUnwrapErr();
      expect(refused.kind).to.equal('overloaded');
      expect(refused.retryAfterSeconds).to.be.within(1, 30);
      expect(store.commits).to.equal(commitsBefore);
      const idle = { notice: 'forecast', hosts: 1, services: [], accounts: [] } as const;
      admission.apply(idle, performance.now());
      expect((await service.submit(admitted, work)).isOk()).to.equal(true);
    });

    // Guards against a refusal, which says that the job never runs, of one that is stored or may still be.
    it('refuses no job that is stored or may be stored', async () => {
      const admitted = await admit();
      expect((await service.submit(admitted, work)).isOk()).to.equal(true);
      applyBacklog();
      expect((await service.submit(admitted, work)).isOk()).to.equal(true);
      store.fault = 'late';
      store.hasUnansweredReads = true;
      const other = (await service.admit({ ...call, path: '/b/00000000000000bb' }))._unsafeUnwrap();
      const idle = { notice: 'forecast', hosts: 1, services: [], accounts: [] } as const;
      admission.apply(idle, performance.now());
      expect((await service.submit(other, work))._unsafeUnwrapErr().kind).to.equal('timeout');
      store.hasUnansweredReads = false;
      storeHealth.recordOutcome(true, performance.now());
      applyBacklog();
      expect((await service.submit(other, work)).isOk()).to.equal(true);
    });
  });

  it('cancels a stored job, also if the answer is lost, and no unknown job', async () => {
    const admitted = await admit();
    await service.submit(admitted, specification);
    store.fault = 'lost';
    expect((await service.cancel(admitted)).isOk()).to.equal(true);
    expect(store.get(key)).to.include('"isCancelled":true');
    const other = (await service.admit({ ...call, path: '/b/00000000000000bb' }))._unsafeUnwrap();
    expect((await service.cancel(other))._unsafeUnwrapErr().kind).to.equal('recordMissing');
  });

  // Guards against a job that runs after its cancellation was acknowledged: its write had no answer and took effect
  // seconds after the cancellation had found no record.
  it('blocks a pending write of a job that is cancelled', async () => {
    const admitted = await admit();
    store.fault = 'late';
    store.hasUnansweredReads = true;
    const unknown = await service.submit(admitted, specification);
    expect(unknown._unsafeUnwrapErr().kind).to.equal('timeout');
    store.hasUnansweredReads = false;
    expect((await service.cancel(admitted))._unsafeUnwrapErr().kind).to.equal('recordMissing');
    store.applyLateCommits();
    expect(store.get(key) ?? '').not.to.include('planning');
    expect((await service.findState(admitted))._unsafeUnwrapErr().kind).to.equal('recordMissing');
  });

  it('blocks the pending write of a submission that was refused once and repeated', async () => {
    const admitted = await admit();
    store.fault = 'late';
    expect((await service.submit(admitted, specification)).isErr()).to.equal(true);
    // The first write of the retry finds the refusal marker, and the one that replaces the marker has no answer.
    const commit = store.commit.bind(store);
    const { commits } = store;
    store.commit = (transaction) => {
      if (store.commits === commits + 1) store.fault = 'late';
      return commit(transaction);
    };
    store.hasUnansweredReads = true;
    const repeated = await service.submit(admitted, specification);
    expect(repeated._unsafeUnwrapErr().kind).to.equal('timeout');
    store.hasUnansweredReads = false;
    expect((await service.cancel(admitted))._unsafeUnwrapErr().kind).to.equal('recordMissing');
    store.applyLateCommits();
    expect(store.get(key) ?? '').not.to.include('planning');
  });

  // Guards against a job that runs because a retry of its submission arrives after the cancellation.
  it('does not accept a job after its cancellation, which can be repeated', async () => {
    const admitted = await admit();
    expect((await service.cancel(admitted))._unsafeUnwrapErr().kind).to.equal('recordMissing');
    expect((await service.cancel(admitted))._unsafeUnwrapErr().kind).to.equal('recordMissing');
    const refused = await service.submit(admitted, specification);
    expect(refused._unsafeUnwrapErr().kind).to.equal('cancelled');
  });

  // Guards against an acknowledged cancellation that was not written.
  it('acknowledges the cancellation of an unknown job only once it is written', async () => {
    const admitted = await admit();
    store.fault = 'refused';
    expect((await service.cancel(admitted))._unsafeUnwrapErr().kind).to.equal('timeout');
    store.fault = 'lost';
    expect((await service.cancel(admitted))._unsafeUnwrapErr().kind).to.equal('recordMissing');
    expect(store.get(key)).to.equal('"cancelled"');
  });

  // Guards against accepting a withdrawn key on a host that could not learn of the withdrawal.
  it('reads the configuration again when its confirmation is too old', async () => {
    store.put('configuration', JSON.stringify(createConfiguration(2, [])));
    expect((await service.admit(call)).isOk()).to.equal(true);
    expect(await configuration.ensureFresh(-1)).to.equal(false);
    expect((await service.admit(call))._unsafeUnwrapErr().kind).to.equal('unauthenticated');
  });

  it('never returns to an older version of the configuration', async () => {
    store.put('configuration', JSON.stringify(createConfiguration(5, [])));
    await configuration.ensureFresh(-1);
    store.put('configuration', JSON.stringify(createConfiguration(4, ['k'])));
    await configuration.ensureFresh(-1);
    expect(configuration.current?.version).to.equal(5);
  });
});
