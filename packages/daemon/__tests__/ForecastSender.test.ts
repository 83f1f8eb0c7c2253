import { forecastLimits, Scheduler } from '@toucanline/jobs';
import type { ForecastNotice, JobRecord } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import { expect } from 'chai';
import { ForecastSender } from '../src/ForecastSender.js';
import { HostMetrics } from '../src/HostMetrics.js';

const size = { milliProcessors: 1000, memoryMb: 1, accelerators: 0 };
const step = { taskCount: 20, size, estimateMs: 10_000, dependsOn: [] };
const record: JobRecord = {
  id: 'a',
  queue: 'batch',
  account: '',
  specification: { payload: '', steps: [step] },
  acceptedAtMs: 0,
  isCancelled: false,
};
const queue = {
  name: 'batch',
  host: 'h',
  prefix: '/',
  service: 's',
  priority: 1,
  maxAttempts: 1,
  stretch: 1,
  objectiveMs: 1000,
  isOpen: true,
};
const entry = {
  id: 'w',
  life: 1,
  service: 's',
  address: 'w:1',
  dataCentre: 'dc1',
  isDraining: false,
  capacity: { ...size, milliProcessors: 2000, memoryMb: 100 },
  labels: [],
};

/** Load: one job of 20 tasks on a worker with two processors. */
describe('forecast sender', () => {
  // Guards against notices that load a leader with a quarter of a core, against hosts whose forecast becomes too old
  // while work waits, and against links that an older version closes because of an unknown notice.
  it('sends changes, repeats a backlog, and only to hosts that can read it', async () => {
    const scheduler = new Scheduler(1, 1, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
    scheduler.configure({
      version: 1,
      queues: [queue],
      services: [],
      accounts: [],
      maxBodyBytes: 1,
    });
    const worker = scheduler.updateWorker(entry, false);
    if (worker === undefined) throw new Error('the worker is known');
    scheduler.handleReport(worker, { life: 1, clockMs: 0, running: [], ended: [] }, 0, 0, 0);
    const received: ForecastNotice[] = [];
    const createLink = (protocol: number, list: ForecastNotice[]): Link =>
      ({
        peer: { protocol },
        isClosed: false,
        notify: (notice: ForecastNotice) => list.push(notice),
      }) as unknown as Link;
    const old: ForecastNotice[] = [];
    const links = [createLink(2, received), createLink(1, old)];
    const local: ForecastNotice[] = [];
    const metrics = new HostMetrics();
    const sender = new ForecastSender(
      scheduler,
      metrics,
      () => links,
      (notice) => local.push(notice),
    );
    const { warmUpMs } = forecastLimits;
    for (let now = 0; now <= warmUpMs; now += 50) sender.update(now);
    expect(received.map(({ services }) => services.length)).to.deep.equal([0]);
    scheduler.addJob(record, 2, warmUpMs);
    worker.recordContact(warmUpMs, warmUpMs);
    scheduler.plan(warmUpMs, warmUpMs);
    const before = received.length;
    for (let now = warmUpMs + 50; now <= warmUpMs + 6000; now += 50) {
      worker.recordContact(now, now);
      worker.extendLease(now);
      sender.update(now);
    }
    const sent = received.slice(before);
    expect(sent.length).to.be.within(6000 / 750 - 1, 6000 / forecastLimits.intervalMs);
    for (const { services, hosts } of sent) {
      expect(hosts).to.equal(2);
      const delayMs = services[0]?.classes[0]?.onTimeMs.at(-1) ?? services[0]?.lateMs ?? 0;
      expect(delayMs).to.be.within(0, 100_000);
      expect(services).to.have.length(1);
    }
    expect(old).to.have.length(0);
    expect(local).to.deep.equal(received);
    expect(await metrics.render()).to.match(
      /backlog_processor_seconds\{service="s",state="waiting"\} 180/,
    );
  });
});
