import { Evacuations } from '@toucanline/jobs';
import { expect } from 'chai';
import { EventLog, HostMetrics } from '../src/index.js';
import { EvacuationWatch } from '../src/EvacuationWatch.js';
import { OperatorStore } from './OperatorStore.js';

const times = { maxAgeMs: 300, startExpiryMs: 400, watchMs: 50 };

/** Log that records the names of the written events. */
class RecordingLog extends EventLog {
  public readonly events: string[] = [];

  public override write(...[event]: Parameters<EventLog['write']>): void {
    this.events.push(event);
  }
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

const waitUntil = async (condition: () => boolean, what: string): Promise<void> => {
  const endsAt = performance.now() + 10_000;
  while (!condition()) {
    if (performance.now() > endsAt) throw new Error(`not within 10 s: ${what}`);
    await sleep(10);
  }
};

/** Blocks this thread, as a pause of the process does. */
const pauseProcess = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

describe('evacuation watch', () => {
  let store: OperatorStore;
  let evacuations: Evacuations;
  let log: RecordingLog;
  let metrics: HostMetrics;
  let watch: EvacuationWatch;

  beforeEach(() => {
    store = new OperatorStore();
    evacuations = new Evacuations();
    metrics = new HostMetrics();
    log = new RecordingLog('test', metrics);
    const onChange = (): void => undefined;
    const prefix = store.evacuationPrefix;
    watch = new EvacuationWatch({ store, prefix, times, evacuations, log, metrics, onChange });
  });

  afterEach(() => {
    watch.stop();
  });

  const isConfirmed = (): boolean => {
    watch.update();
    return evacuations.isConfirmed;
  };

  // Guards against a new leader that starts tasks before it knows which data centres are evacuated.
  it('allows starts only once the store has listed the evacuations, and follows them', async () => {
    store.evacuate('dc1');
    expect(isConfirmed()).to.equal(false);
    watch.start();
    await waitUntil(isConfirmed, 'confirmed');
    expect([...evacuations.dataCentres]).to.deep.equal(['dc1']);
    store.evacuate('dc2');
    await waitUntil(() => evacuations.dataCentres.has('dc2'), 'both');
    expect(await metrics.render()).to.include('toucanline_evacuated_data_centres 2');
    store.withdraw('dc1');
    await waitUntil(() => !evacuations.dataCentres.has('dc1'), 'withdrawn');
    expect(log.events).to.deep.equal(['evacuationStarted', 'evacuationStarted', 'evacuationEnded']);
    // The prefix alone names no data centre.
    store.evacuate('');
    store.evacuate('dc3');
    await waitUntil(() => evacuations.dataCentres.has('dc3'), 'the next one');
    expect([...evacuations.dataCentres]).to.deep.equal(['dc2', 'dc3']);
  });

  // Guards against starts on a view that no call confirms any more, because the response of the pending one is lost.
  it('allows no starts after the watch has been silent for the longest age', async () => {
    watch.start();
    await waitUntil(isConfirmed, 'confirmed');
    expect(watch.startTimeLeftMs).to.be.within(times.startExpiryMs - times.maxAgeMs, 400);
    store.evacuationFault = 'silent';
    await waitUntil(() => !isConfirmed(), 'too old');
    expect(watch.startTimeLeftMs).to.be.at.most(0);
    await waitUntil(() => {
      watch.update();
      return log.events.includes('evacuationsUnconfirmed');
    }, 'logged');
  });

  // Guards against an evacuation that is missed because it was requested while the store was down, and against a leader
  // that resumes before it knows of it.
  it('knows of an evacuation from the time of an outage before it allows starts again', async () => {
    store.evacuate('dc2');
    watch.start();
    await waitUntil(isConfirmed, 'confirmed');
    store.evacuationFault = 'down';
    await waitUntil(() => !isConfirmed(), 'too old');
    expect([...evacuations.dataCentres]).to.deep.equal(['dc2']);
    store.evacuate('dc1');
    store.withdraw('dc2');
    store.evacuationFault = 'none';
    await waitUntil(isConfirmed, 'confirmed again');
    expect([...evacuations.dataCentres]).to.deep.equal(['dc1']);
  });

  // Guards against a leader that resumes after a pause and acts on the view from before it.
  it('allows no starts right after a pause', async () => {
    watch.start();
    await waitUntil(isConfirmed, 'confirmed');
    store.evacuate('dc1');
    pauseProcess(times.maxAgeMs + 50);
    expect(isConfirmed()).to.equal(false);
    await waitUntil(isConfirmed, 'confirmed again');
    expect([...evacuations.dataCentres]).to.deep.equal(['dc1']);
  });

  // Guards against an age by one clock: the monotonic one stands still while a host is suspended, and the time of day may
  // be set back.
  it('uses the larger of two ages', async () => {
    watch.start();
    await waitUntil(isConfirmed, 'confirmed');
    const readDate = Date.now;
    try {
      const shift = (ms: number): void => {
        Date.now = () => readDate() + ms;
      };
      shift(10_000);
      expect(isConfirmed()).to.equal(false);
      shift(-10_000);
      store.evacuationFault = 'silent';
      await waitUntil(() => !isConfirmed(), 'too old by the monotonic clock');
    } finally {
      Date.now = readDate;
    }
  });
});
