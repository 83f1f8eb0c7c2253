import { Caller, createDocument, Site, sleep } from '@toucanline/testkit';
import { build } from 'hdr-histogram-js';
import { Benchmark } from './Benchmark.js';

const handovers = 60;
const callers = 12;
/** Time before each handover; the gap without a handover is measured in its second half. */
const settleMs = 700;
/** Minimum time from the stop signal over which the gap is measured. */
const windowMs = 1000;
const targetMs = 500;
const size = { processors: 1, memoryMb: 512, accelerators: 0 };

/**
 * Measures the gap in decisions while a graceful shutdown hands a shard over, under load with real
 * processes.
 */
export class HandoverBenchmark extends Benchmark {
  readonly #startTimes: number[] = [];
  #failed = 0;
  #answered = 0;
  #isLoadActive = true;

  /** {@inheritDoc Benchmark.name} */
  public override get name(): string {
    return 'handover';
  }

  /** {@inheritDoc Benchmark.run} */
  public override async run(_seed: number, print: (line: string) => void): Promise<boolean> {
    const site = new Site({
      document: createDocument(['dc1'], { broadcast: { share: 1 } }),
      dataCentres: ['dc1'],
      entriesPerDataCentre: 1,
      schedulersPerDataCentre: 2,
      workersPerDataCentre: 3,
      teams: ['broadcast'],
    });
    await site.start();
    const recordStart = site.monitor.recordStart.bind(site.monitor);
    site.monitor.recordStart = (worker, assignment): void => {
      this.#startTimes.push(performance.now());
      recordStart(worker, assignment);
    };
    const loads = Array.from({ length: callers }, () => this.#generateLoad(site));
    const handoverGaps = build();
    const baselineGaps = build();
    for (let index = 0; index < handovers; index += 1) {
      await sleep(settleMs);
      const before = performance.now();
      baselineGaps.recordValue(Math.round(this.#measureGap(before - settleMs / 2, before)));
      handoverGaps.recordValue(Math.round(await this.#handOver(site, index)));
    }
    this.#isLoadActive = false;
    await Promise.all(loads);
    const [p50, p99] = [50, 99].map((percent) => handoverGaps.getValueAtPercentile(percent));
    print(`gap in decisions over ${handovers} handovers: p50 ${p50} ms, p99 ${p99} ms`);
    print(`longest ${handoverGaps.maxValue} ms; target p99 below ${targetMs} ms`);
    print(
      `gap without a handover: p50 ${baselineGaps.getValueAtPercentile(50)}, max ${baselineGaps.maxValue} ms`,
    );
    const { violations } = site.monitor;
    print(`answered ${this.#answered}, failed ${this.#failed}, violations ${violations.length}`);
    await site.stop();
    return (p99 ?? Infinity) < targetMs && this.#failed === 0 && violations.length === 0;
  }

  /** Stops the owner gracefully, measures the gap in milliseconds and starts a replacement scheduler. */
  async #handOver(site: Site, index: number): Promise<number> {
    const owner = await site.waitForOwner(10_000);
    const from = performance.now();
    owner.signal('SIGTERM');
    await owner.exit;
    await sleep(Math.max(0, windowMs - (performance.now() - from)));
    const gapMs = this.#measureGap(from, performance.now());
    site.hostList.remove(owner.settings.process);
    await (await site.addScheduler('dc1', `n${index}-dc1`)).waitUntilHealthy();
    return gapMs;
  }

  /** Returns the largest time between task starts on the workers in an interval, in milliseconds. */
  #measureGap(from: number, to: number): number {
    const startTimes = this.#startTimes.filter((at) => at >= from && at <= to);
    let largest = 0;
    let previous = from;
    for (const at of [...startTimes, to]) {
      largest = Math.max(largest, at - previous);
      previous = at;
    }
    return largest;
  }

  async #generateLoad(site: Site): Promise<void> {
    const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-broadcast');
    const specification = { size, command: 'sleep 20; echo ok', deadlineSeconds: 60 };
    while (this.#isLoadActive) {
      const { view } = await caller.submit('renders', specification, { wait: 30 });
      if (view.output?.[0] === 'ok') this.#answered += 1;
      else this.#failed += 1;
    }
  }
}
