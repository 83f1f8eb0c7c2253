import { Scheduler, type Command } from '@toucanline/jobs';
import type { JobRecord, QueueConfiguration, WorkerEntry } from '@toucanline/schema';
import { build } from 'hdr-histogram-js';
import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';
import { Benchmark } from './Benchmark.js';

/** Size of a fleet and of its backlog, and the longest median of a planning pass on it. */
interface PlanningCase {
  readonly workers: number;
  readonly waitingSteps: number;
  readonly boundMs: number;
}

const cases: readonly PlanningCase[] = [
  { workers: 380, waitingSteps: 200, boundMs: 1 },
  { workers: 1300, waitingSteps: 4000, boundMs: 5 },
];
const measuredPasses = 30;
/** Passes in which the fleet fills up and the first verdicts arrive. */
const fillingPasses = 40;
const passIntervalMs = 4;
/** Tasks of each waiting step; each takes a quarter of a worker. */
const tasksPerStep = 10;
const taskSize = { milliProcessors: 4000, memoryMb: 100, accelerators: 0 };
/** Share of the workers that the placement policy allows. */
const allowedShare = 0.67;
const permitValidMs = 1e9;

const queue: QueueConfiguration = {
  name: 'batch',
  host: 'h',
  prefix: '/',
  service: 'render',
  priority: 1,
  maxAttempts: 2,
  stretch: 2,
  objectiveMs: 1000,
  isOpen: true,
  advice: { baseMs: 20, perWorkerMs: 0.3, validMs: permitValidMs },
};

const createWorker = (index: number): WorkerEntry => ({
  id: `w${index}`,
  life: 1,
  service: 'render',
  address: `10.0.0.1:${index + 1}`,
  dataCentre: 'dc1',
  isDraining: false,
  capacity: { milliProcessors: 16_000, memoryMb: 64_000, accelerators: 0 },
  labels: [`rack-${index % 20}`],
});

const createJob = (id: number, taskCount: number): JobRecord => ({
  id: id.toString(16).padStart(16, '0'),
  queue: queue.name,
  account: '',
  specification: {
    payload: '',
    steps: [{ taskCount, size: taskSize, estimateMs: 5000, dependsOn: [] }],
  },
  acceptedAtMs: 0,
  isCancelled: false,
});

/** Measures the planning passes of the engine for jobs on a full fleet with a backlog. */
export class PlanningBenchmark extends Benchmark {
  /** {@inheritDoc Benchmark.name} */
  public override get name(): string {
    return 'planning';
  }

  /** {@inheritDoc Benchmark.run} */
  public override run(seed: number, print: (line: string) => void): Promise<boolean> {
    let isMet = true;
    for (const each of cases) {
      const passes = this.#measure(each, xoroshiro128plus(seed));
      const [median = 0, longest = 0] = [50, 100].map(
        (percent) => passes.getValueAtPercentile(percent) / 1000,
      );
      const verdict = median <= each.boundMs ? 'met' : 'MISSED';
      isMet &&= verdict === 'met';
      print(
        `${each.workers} workers, ${each.waitingSteps} waiting steps: median ${median.toFixed(1)} ms, ` +
          `longest ${longest.toFixed(1)} ms, bound ${each.boundMs} ms: ${verdict}`,
      );
    }
    return Promise.resolve(isMet);
  }

  #measure(
    { workers, waitingSteps }: PlanningCase,
    generator: RandomGenerator,
  ): ReturnType<typeof build> {
    const scheduler = new Scheduler(1, 1, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
    const service = { name: 'render', enforcesCapacity: false, isSpare: false };
    scheduler.configure({
      ...{ version: 1, accounts: [], maxBodyBytes: 1 },
      ...{ queues: [queue], services: [service] },
    });
    for (let index = 0; index < workers; index += 1) {
      const worker = scheduler.updateWorker(createWorker(index), false);
      const report = { life: 1, clockMs: 0, running: [], ended: [] };
      if (worker !== undefined) scheduler.handleReport(worker, report, 0, 0, 0);
    }
    scheduler.addJob(createJob(0, workers * 4), 1, 0);
    let now = 1;
    for (let pass = 0; pass < fillingPasses; pass += 1, now += passIntervalMs) {
      answer(scheduler, scheduler.plan(now, now), generator, now);
    }
    for (let id = 1; id <= waitingSteps; id += 1) {
      scheduler.addJob(createJob(id, tasksPerStep), 1, now);
    }
    const microseconds = build();
    for (let pass = 0; pass < measuredPasses; pass += 1, now += passIntervalMs) {
      const startedAt = performance.now();
      const commands = scheduler.plan(now, now);
      microseconds.recordValue(Math.round((performance.now() - startedAt) * 1000));
      answer(scheduler, commands, generator, now);
    }
    return microseconds;
  }
}

/** Confirms all starts and answers all requests for permits of a pass. */
const answer = (
  scheduler: Scheduler,
  commands: readonly Command[],
  generator: RandomGenerator,
  now: number,
): void => {
  for (const command of commands) {
    if (command.kind === 'start') scheduler.handleStartOutcome(command, 'started', now);
    if (command.kind !== 'advise') continue;
    const permits = command.workers
      .filter(() => unsafeUniformIntDistribution(1, 100, generator) <= allowedShare * 100)
      .map(({ id }) => ({ workerId: id, permit: 'p' }));
    scheduler.handlePermits(command, permits, now, permitValidMs);
  }
};
