import { validators, type JobRecord, type JobStep } from '@toucanline/schema';
import { expect } from 'chai';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { DurationHistogram } from '../src/durations/DurationHistogram.js';
import {
  DeclaredDurations,
  JobRegistry,
  LearnedDurations,
  Scheduler,
  type DurationEstimates,
  type StepInstance,
  type Task,
} from '../src/index.js';
import { fixtures } from './fixtures.js';
import { LoadSimulation } from './LoadSimulation.js';

const { configuration, job, queue, room, step, worker } = fixtures;

const general = { median: 0, tail: Math.log(2), deviation: 0.49 };

const createStep = (
  description: Partial<JobStep> = {},
  record: Partial<JobRecord> = {},
): StepInstance => {
  const jobs = new JobRegistry();
  jobs.configure(configuration());
  jobs.add(job('a', [step(1, 1000, description)], record), 1, 0);
  const [added] = jobs.openJobs;
  added?.openDueOccurrences(0);
  const [created] = added?.steps ?? [];
  if (created === undefined) throw new Error('the job has no step');
  return created;
};

/** Places the first task of a step on a worker of its own. */
const placeTask = (instance: StepInstance): Task => {
  const scheduler = new Scheduler(1, 1, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
  const added = scheduler.updateWorker(worker('w'), false);
  const [task] = instance.tasks;
  if (added === undefined || task === undefined) throw new Error('nothing to place');
  task.place(added, 1, 0);
  return task;
};

/** Records finished runs of one step each, on workers of unknown speed. */
const finishRuns = (
  durations: DurationEstimates,
  count: number,
  durationMs: number,
  description: Partial<JobStep> = {},
  record: Partial<JobRecord> = {},
): void => {
  for (let run = 0; run < count; run += 1)
    durations.recordDone(placeTask(createStep(description, record)), durationMs, run);
};

describe('the distribution of durations', () => {
  // Pattern: 3% of the tasks run seven times as long. Guards against a mean, which these tasks raise by 18%, and against
  // a tail that does not show them once they are more than 5%.
  it('separates the median from the tail', () => {
    const rare = new DurationHistogram(0);
    const frequent = new DurationHistogram(0);
    for (let run = 0; run < 600; run += 1) {
      rare.add(run % 33 === 0 ? Math.log(7) : 0.01, false, 1, run);
      frequent.add(run % 12 === 0 ? Math.log(7) : 0.01, false, 1, run);
    }
    expect(Math.exp(rare.summarize(general).median)).to.be.within(0.95, 1.2);
    expect(Math.exp(rare.summarize(general).tail)).to.be.within(0.95, 1.25);
    expect(Math.exp(frequent.summarize(general).median)).to.be.within(0.95, 1.2);
    expect(Math.exp(frequent.summarize(general).tail)).to.be.within(5.5, 8);
  });

  // Guards against runs that fail or are preempted early and are taken for short tasks.
  it('uses runs that were cut short only as a lower bound', () => {
    const mixed = new DurationHistogram(0);
    const onlyCut = new DurationHistogram(0);
    for (let run = 0; run < 200; run += 1) {
      mixed.add(run % 2 === 0 ? 0.01 : Math.log(4.1), run % 2 === 0, 1, run);
      onlyCut.add(Math.log(run % 2 === 0 ? 0.3 : 3), true, 1, run);
    }
    expect(Math.exp(mixed.summarize(general).median)).to.be.within(3.5, 5);
    expect(Math.exp(onlyCut.summarize(general).median)).to.be.within(2.9, 3.5);
    expect(Math.exp(onlyCut.summarize({ ...general, median: 3 }).median)).to.be.above(20);
  });

  // Guards against estimates that keep old behaviour after a change of the program that the tasks run.
  it('forgets with further runs and with time', () => {
    const byRuns = new DurationHistogram(0);
    const byTime = new DurationHistogram(0);
    for (let run = 0; run < 1000; run += 1) {
      byRuns.add(Math.log(5), false, 1, run);
      byTime.add(Math.log(5), false, 1, run);
    }
    for (let run = 0; run < 150; run += 1) byRuns.add(0.01, false, 1, 1000 + run);
    for (let run = 0; run < 10; run += 1) byTime.add(0.01, false, 1, 3_600_000 + run);
    expect(Math.exp(byRuns.summarize(general).median)).to.be.within(0.95, 1.2);
    expect(Math.exp(byTime.summarize(general).median)).to.be.within(0.95, 1.2);
    expect([...byRuns.bins].length).to.be.at.most(2);
  });
});

describe('learned durations', () => {
  it('pass from the declaration to the queue, and with more runs to the account', () => {
    const durations = new LearnedDurations();
    expect(durations.estimateKind(createStep())).to.include({ medianMs: 1000, level: 'declared' });
    finishRuns(durations, 40, 3000, {}, { account: 'broadcast' });
    const other = durations.estimateKind(createStep({ size: room(8000) }));
    expect(other.level).to.equal('queue');
    expect(other.medianMs).to.be.within(1700, 3300);
    expect(durations.estimateKind(createStep()).level).to.equal('size');
    const known = durations.estimateKind(createStep({}, { account: 'broadcast' }));
    expect(known.level).to.equal('account');
    // The ratio also applies to larger tasks of the same kind.
    const large = durations.estimateKind(
      createStep({ estimateMs: 4000 }, { account: 'broadcast' }),
    );
    expect(large.medianMs / known.medianMs).to.be.closeTo(4, 0.01);
    expect(durations.estimateKind(createStep({}, { queue: 'urgent' })).level).to.equal('declared');
  });

  // Guards against gangs, which run at the speed of several workers, that change the estimates of single tasks.
  it('keep gangs, opportunistic and long-running tasks apart', () => {
    for (const mode of ['isGang', 'isOpportunistic', 'isLongRunning']) {
      const durations = new LearnedDurations();
      finishRuns(durations, 40, 9000, { [mode]: true });
      expect(durations.estimateKind(createStep()).level, mode).to.equal('declared');
      const isLearned = durations.estimateKind(createStep({ [mode]: true })).level !== 'declared';
      expect(isLearned, mode).to.equal(mode !== 'isLongRunning');
    }
  });

  // Guards against a table that callers let grow by sending new images, and against a record larger than the store
  // accepts. The queue is used with each run, so its estimate stays.
  it('keep a bounded number of kinds, the least recently used are evicted first', () => {
    const durations = new LearnedDurations();
    const long = 'x'.repeat(100_000);
    for (let image = 0; image < 700; image += 1)
      finishRuns(durations, 1, 3000, { image: `${image}-${long}` });
    const { kinds } = durations.describe(1e9);
    expect(kinds).to.have.length(512);
    expect(kinds.some(({ key }) => key.includes('"699-'))).to.equal(true);
    expect(kinds.some(({ key }) => key.includes('"100-'))).to.equal(false);
    const small = durations.describe(4000);
    expect(JSON.stringify(small).length).to.be.within(3500, 4000);
    expect(small.kinds[0]).to.deep.equal(kinds[0]);
    expect(durations.estimateKind(createStep({ image: 'new' })).medianMs).to.be.above(2000);
  });

  // Guards against a new leader that orders work by the declarations until it has learned again.
  it('pass to the next leader, and merge with what it has learned meanwhile', () => {
    const first = new LearnedDurations();
    finishRuns(first, 60, 3000);
    const record: unknown = JSON.parse(JSON.stringify(first.describe(262_144)));
    if (!validators.DurationRecord(record)) throw new Error('the record does not match the schema');
    const second = new LearnedDurations();
    second.restore(record, 0);
    const expected = first.estimateKind(createStep());
    const restored = second.estimateKind(createStep());
    expect(restored.level).to.equal(expected.level);
    expect(restored.medianMs).to.be.closeTo(expected.medianMs, 30);
    const late = new LearnedDurations();
    finishRuns(late, 2, 3000);
    late.restore(record, 2);
    expect(late.estimateKind(createStep()).level).to.equal(expected.level);
  });

  // Guards against tasks that are stopped as stalled because their declaration is far too short.
  it('decide by when progress is expected', () => {
    const durations = new LearnedDurations();
    finishRuns(durations, 60, 20_000);
    expect(durations.estimateStallBaseMs(createStep())).to.be.above(10_000);
    expect(new DeclaredDurations().estimateStallBaseMs(createStep())).to.equal(1000);
  });

  // Guards against failed, lost and resumed runs that count as whole ones.
  it('learn a lower bound from failed and lost runs, and nothing from resumed ones', () => {
    const scheduler = new Scheduler(1, 1, 0, { maxStopMs: 200, maxLeaseMs: 6000 });
    scheduler.configure(configuration({ queues: [queue('batch', { maxAttempts: 9 })] }));
    const added = scheduler.updateWorker(worker('w'), false);
    if (added === undefined) throw new Error('the worker is known');
    let report = { life: 1, clockMs: 0, running: [], ended: [] };
    const startRun = (now: number): number => {
      scheduler.handleReport(added, report, now, now, now);
      const [command] = scheduler.plan(now, now);
      if (command?.kind !== 'start') throw new Error('nothing started');
      added.extendLease(now);
      scheduler.handleStartOutcome(command, 'started', now);
      return command.run;
    };
    const reportRun = (run: number, now: number, checkpoint = ''): void => {
      const running = [{ task: 'a.0.0.0', run, checkpoint, percent: 10, load: 0 }];
      scheduler.handleReport(added, { ...report, running }, now, now, now);
    };
    const endRun = (number: number, run: number, now: number, isDone: boolean): void => {
      const outcome = isDone ? ('done' as const) : ('failed' as const);
      const ended = [{ number, task: 'a.0.0.0', run, outcome, checkpoint: '' }];
      scheduler.handleReport(added, { ...report, ended }, now, now, now);
    };
    const readWeights = () => {
      const [kind] = scheduler.durations.describe(1e6)?.kinds ?? [];
      return (kind?.bins ?? []).map(({ ended = 0, cutShort = 0 }) => [ended, Math.round(cutShort)]);
    };
    scheduler.addJob(job('a', [step(1, 1000)]), 2, 0);
    const failed = startRun(0);
    reportRun(failed, 600);
    endRun(1, failed, 700, false);
    expect(readWeights()).to.deep.equal([[0, 1]]);
    const cut = startRun(700);
    reportRun(cut, 1300, 'checkpoint');
    report = { ...report, clockMs: 1400 };
    scheduler.handleReport(added, report, 1400, 1400, 1400);
    expect(readWeights()).to.deep.equal([[0, 2]]);
    const resumed = startRun(1400);
    reportRun(resumed, 1500);
    endRun(2, resumed, 1600, true);
    expect(readWeights()).to.deep.equal([[0, 2]]);
  });
});

/** Counts the jobs that finish within their objective, and sums the error of the estimates. */
const runWrongDeclarations = (durations: DurationEstimates, seed: number) => {
  const generator = xoroshiro128plus(seed);
  const random = (): number => unsafeUniformIntDistribution(0, 999_999, generator) / 1e6;
  const factors = [0.75, 1.25, 2];
  const fleet = [...Array(12).keys()].map((number) =>
    worker(`w${number}`, { capacity: room(16_000, 64_000) }),
  );
  const site = configuration({ queues: [queue('batch', { stretch: 0, objectiveMs: 1700 })] });
  const model = new LoadSimulation(
    site,
    fleet,
    (id) => factors[Number(id.slice(1)) % factors.length] ?? 1,
    undefined,
    durations,
  );
  const ids = [...Array(400).keys()].map((number) => `j${number}`);
  ids.forEach((id, number) => {
    const isShort = number % 2 === 0;
    const workMs = (isShort ? 300 : 900) * (random() < 0.03 ? 7 : 0.9 + 0.2 * random());
    const account = isShort ? 'planning' : 'broadcast';
    const steps = [step(4, 1500, { estimateMs: isShort ? 750 : 360 })];
    model.submit(number * 50, job(id, steps, { account }), () => workMs);
  });
  const errors: number[] = [];
  for (let now = 100; now <= 30_000; now += 100) {
    model.run(now);
    if (now < 5000) durations.takeOutcomes();
    else errors.push(...durations.takeOutcomes().map(({ ratio }) => Math.abs(Math.log(ratio))));
  }
  errors.sort((a, b) => a - b);
  return {
    inTime: ids.filter((id, number) => model.finishedAt(id) - number * 50 <= 1700).length,
    medianError: Math.exp(errors[Math.floor(errors.length / 2)] ?? Infinity),
  };
};

describe('a fleet with wrong declarations', () => {
  // Load: 20 jobs of 4 tasks per second on 12 workers with duration factors of 0.75, 1.25 and 2; one account declares
  // 2.5 times the duration, the other 0.4 times, and 3% of the jobs take seven times as long. Guards against long tasks
  // that are placed on slow workers because they are declared as short ones.
  it('finishes more jobs in time with learned durations', () => {
    for (const seed of [1, 5]) {
      const declared = runWrongDeclarations(new DeclaredDurations(), seed);
      const learned = runWrongDeclarations(new LearnedDurations(), seed);
      expect(learned.inTime).to.be.above(declared.inTime + 10);
      expect(learned.medianError).to.be.below(1.25);
      expect(declared.medianError).to.be.above(1.8);
    }
  });
});
