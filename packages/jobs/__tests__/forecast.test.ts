import type { ForecastNotice, JobSpecification, JobStep } from '@toucanline/schema';
import { expect } from 'chai';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { ForecastAdmission, forecastLimits } from '../src/index.js';
import { fixtures } from './fixtures.js';
import { LoadSimulation } from './LoadSimulation.js';

const { configuration, job, queue, room, step, worker } = fixtures;

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, 999_999, generator) / 1e6;
};

const names = {
  steady: [...Array(6).keys()].map((number) => `steady${number}`),
  hot: ['hot0', 'hot1', 'hot2'],
  burst: ['burst0', 'burst1'],
};

const objectiveMs = 2000;
const usefulMs = objectiveMs * forecastLimits.usefulFactor;
const burstsAt = [6000, 9000];
const loadEndsAt = 14_000;

/** Job of 4 tasks of 1.5 processors and 0.5 s: 3 processor seconds. */
const smallStep = step(4, 1500, { estimateMs: 500 });

/**
 * Load: 12 workers of 16 processors. Six accounts submit a job per second each, which is half of their rate. Three hot
 * accounts submit 25 jobs per second each, twelve times their rate and more than the fleet can do. Two other accounts
 * submit 200 jobs at once, at 6 and at 9 s.
 */
const runHotAccounts = (hosts: readonly ForecastAdmission[]) => {
  const accounts = [...names.steady, ...names.hot, ...names.burst].map((name) => ({
    name,
    weight: 2,
    keys: [],
  }));
  const queues = [queue('batch', { stretch: 1, objectiveMs: objectiveMs - 500 })];
  const fleet = [...Array(12).keys()].map((number) =>
    worker(`w${number}`, { capacity: room(16_000, 64_000) }),
  );
  const model = new LoadSimulation(configuration({ queues, accounts }), fleet, () => 1);
  model.admitThrough(hosts);
  const submittedAt = new Map<string, number>();
  const submit = (account: string, at: number): void => {
    const id = `${account}-${submittedAt.size}`;
    submittedAt.set(id, at);
    model.submit(at, job(id, [smallStep], { account }), () => 500);
  };
  for (let at = 0; at < loadEndsAt; at += 1000)
    names.steady.forEach((account, index) => {
      submit(account, at + index * 160);
    });
  for (let at = 0; at < loadEndsAt; at += 40) for (const account of names.hot) submit(account, at);
  names.burst.forEach((account, index) => {
    for (let count = 0; count < 200; count += 1) submit(account, burstsAt[index] ?? 0);
  });
  model.run(45_000);
  const lastReturns = new Map(model.refusals.map(({ id, returnsAt }) => [id, returnsAt]));
  // The wait counts from the submission that was accepted: a refused caller knows when to return.
  const waits = (group: readonly string[]): readonly number[] =>
    [...submittedAt]
      .filter(([id]) => group.includes(id.split('-')[0] ?? ''))
      .map(([id, at]) => model.finishedAt(id) - (lastReturns.get(id) ?? at))
      .sort((a, b) => a - b);
  return { model, waits };
};

const findEnd = (model: LoadSimulation): number =>
  Math.max(...names.hot.map((name) => model.lastFinishedAt(name)));

const countWithin = (waits: readonly number[], limitMs: number): number =>
  waits.filter((wait) => wait <= limitMs).length;

const createHosts = (): readonly ForecastAdmission[] => {
  const random = createRandom(1);
  return [0, 1, 2, 3].map(() => new ForecastAdmission(random));
};

describe('three hot accounts and two bursts on a full fleet', () => {
  const open = runHotAccounts([]);
  const { model, waits } = runHotAccounts(createHosts());
  const all = [...names.steady, ...names.hot, ...names.burst];

  // Guards against a fleet that accepts everything: 0.2% were refused, and jobs with an objective of 2 s waited 13 s.
  it('get a useful time for what is accepted, without wasted capacity', () => {
    expect(countWithin(waits(all), usefulMs)).to.be.above(
      1.5 * countWithin(open.waits(all), usefulMs),
    );
    expect(countWithin(waits(all), objectiveMs)).to.be.above(
      countWithin(open.waits(all), objectiveMs),
    );
    expect(waits(all).at(-1)).to.be.below(open.waits(all).at(-1) ?? 0);
    expect(findEnd(model)).to.be.below(findEnd(open.model) + 3000);
  });

  // Guards against accounts that pay for the bursts of others.
  it('do not delay accounts within their rate, of which none is refused', () => {
    expect(waits(names.steady).at(-1)).to.be.at.most(objectiveMs);
    expect(model.refusals.filter(({ id }) => names.steady.some((name) => id.startsWith(name)))).to
      .be.empty;
  });

  // Guards against refusals by a leader that does not know yet what waits, and by an old forecast.
  it('are refused only while work waits, and by no new leader', () => {
    expect(model.refusals).to.not.be.empty;
    for (const { at } of model.refusals) {
      expect(at).to.be.at.least(forecastLimits.warmUpMs);
      const forecast = model.forecasts[Math.floor((at - 5) / forecastLimits.intervalMs)];
      expect(forecast?.services, `at ${at}`).to.not.be.empty;
    }
    for (const forecast of model.forecasts)
      expect(JSON.stringify(forecast).length).to.be.below(1000);
  });

  // Guards against refused callers that return at the same moment as another burst.
  it('return spread out', () => {
    const [, burstAt] = burstsAt;
    const returns = model.refusals.filter(
      ({ id, at }) => id.startsWith('burst1') && at === burstAt,
    );
    expect(returns.length).to.be.above(50);
    const counts = new Map<number, number>();
    for (const { returnsAt } of returns) counts.set(returnsAt, (counts.get(returnsAt) ?? 0) + 1);
    expect(counts.size).to.be.above(3);
    expect(Math.max(...counts.values())).to.be.below(returns.length / 2);
  });
});

/**
 * Load: 4 workers of 16 processors. Eight accounts with the same rate and share submit twice what the fleet can do for
 * 25 s, all within their rate. Another account submits a small job every half second.
 */
const runEntitledOverload = (hosts: readonly ForecastAdmission[]) => {
  const busy = [...Array(8).keys()].map((number) => `busy${number}`);
  const accounts = [...busy, 'light'].map((name) => ({ name, weight: 100, keys: [] }));
  const queues = [queue('batch', { stretch: 1, objectiveMs: objectiveMs - 500 })];
  const fleet = [...Array(4).keys()].map((number) =>
    worker(`w${number}`, { capacity: room(16_000, 64_000) }),
  );
  const model = new LoadSimulation(configuration({ queues, accounts }), fleet, () => 1);
  model.admitThrough(hosts);
  const submittedAt = new Map<string, number>();
  const submit = (account: string, at: number, workMs: number, taskCount: number): void => {
    const id = `${account}-${at}`;
    submittedAt.set(id, at);
    const steps = [step(taskCount, 1500, { estimateMs: workMs })];
    model.submit(at, job(id, steps, { account }), () => workMs);
  };
  for (let count = 0; count * 75 < 25_000; count += 1)
    submit(busy[count % busy.length] ?? '', count * 75, 1000, 6);
  for (let at = 0; at < 25_000; at += 500) submit('light', at, 500, 4);
  model.run(90_000);
  const returns = new Map(model.refusals.map(({ id, returnsAt }) => [id, returnsAt]));
  const waits = [...submittedAt].map(([id, at]) => model.finishedAt(id) - (returns.get(id) ?? at));
  return { model, waits };
};

describe('accounts within their rate on a fleet that is too small for them', () => {
  // Guards against a forecast that is always short, because jobs that are late wait behind new ones.
  it('are refused by their own backlog, and a light account is not', () => {
    const open = runEntitledOverload([]);
    const { model, waits } = runEntitledOverload(createHosts());
    expect(countWithin(waits, usefulMs)).to.be.above(1.3 * countWithin(open.waits, usefulMs));
    expect(model.refusals).to.not.be.empty;
    expect(model.refusals.filter(({ id }) => id.startsWith('light'))).to.be.empty;
  });
});

describe('a submission', () => {
  const now = 1000;
  const account = { name: 'a', weight: 100, keys: [] };
  const specification: JobSpecification = { payload: '', steps: [smallStep] };
  const batch = queue('batch', { stretch: 1, objectiveMs: objectiveMs - 500 });

  const createForecast = (
    delayMs: number,
    overrides: Partial<ForecastNotice> = {},
  ): ForecastNotice => {
    const sums = forecastLimits.horizonsMs.map(() => delayMs);
    const classes = [{ priority: 2, onTimeMs: sums, overRateMs: sums }];
    const service = {
      service: 'render',
      drainRate: 100,
      overRateDrainRate: 50,
      lateMs: 0,
      classes,
    };
    return { notice: 'forecast', hosts: 2, services: [service], accounts: [], ...overrides };
  };

  const check = (forecast: ForecastNotice, submission = {}, at = now, random = 0.5) => {
    const admission = new ForecastAdmission(() => random);
    admission.apply(forecast, now);
    return admission.check({ queue: batch, account, specification, ...submission }, at);
  };

  it('is refused once its forecast completion is too late, that of an account beyond its share first', () => {
    const accounts = [{ account: 'a', isOverRate: false, isOverShare: true }];
    expect(check(createForecast(5000, { accounts }))).to.equal(undefined);
    const refusal = check(createForecast(5600, { accounts }));
    expect(refusal).to.include({ isEntitled: false, delayMs: 5600, usefulMs });
    expect(check(createForecast(5600))).to.equal(undefined);
    expect(check(createForecast(12_000))).to.include({ isEntitled: true, usefulMs: 12_000 });
    const late = createForecast(3000, { accounts });
    const services = late.services.map((service) => ({ ...service, lateMs: 3000 }));
    expect(check({ ...late, services })).to.include({ delayMs: 6000 });
    expect(check({ ...late, services, accounts: [] })).to.equal(undefined);
  });

  // Guards against refusals that do not help the caller: in doubt, a submission is accepted.
  it('is accepted without a recent forecast, without a wait, and where waiting cannot help', () => {
    const forecast = createForecast(50_000);
    expect(check(forecast)).to.not.equal(undefined);
    expect(check(forecast, {}, now + forecastLimits.maxAgeMs + 1)).to.equal(undefined);
    expect(check(createForecast(0, { services: [] }))).to.equal(undefined);
    expect(check(forecast, { queue: queue('other', { service: 'x' }) })).to.equal(undefined);
    const schedule = { firstDueMs: 0, intervalMs: 1, occurrences: 2 };
    expect(check(forecast, { specification: { ...specification, schedule } })).to.equal(undefined);
    const checkStep = (changes: Partial<JobStep>): unknown =>
      check(forecast, { specification: { payload: '', steps: [{ ...smallStep, ...changes }] } });
    expect(checkStep({ isLongRunning: true })).to.equal(undefined);
    // 10,000 tasks are 7,500 processor seconds: 75 s of the whole service, far more than the useful time.
    expect(checkStep({ taskCount: 10_000 })).to.equal(undefined);
  });

  it('is told to return within 1 to 30 s, later the longer the backlog', () => {
    const accounts = [{ account: 'a', isOverRate: true, isOverShare: true }];
    const retryAfter = (delayMs: number, random: number): number =>
      check(createForecast(delayMs, { accounts }), {}, now, random)?.retryAfterSeconds ?? 0;
    expect(retryAfter(5600, 0)).to.equal(1);
    expect(retryAfter(5600, 0.999)).to.equal(3);
    expect(retryAfter(13_500, 0)).to.equal(8);
    expect(retryAfter(1e6, 0)).to.equal(15);
    expect(retryAfter(1e6, 0.999)).to.equal(30);
  });

  // Guards against hosts that each accept the whole rate of an account.
  it('counts against a part of the rate of its account on each host once the account is beyond it', () => {
    const accounts = [{ account: 'a', isOverRate: true, isOverShare: false }];
    const admission = new ForecastAdmission(() => 0);
    admission.apply(createForecast(7000, { accounts }), now);
    let accepted = 0;
    for (let count = 0; count < 300; count += 1)
      if (admission.check({ queue: batch, account, specification }, now) === undefined)
        accepted += 1;
    expect(accepted).to.equal(account.weight);
  });
});
