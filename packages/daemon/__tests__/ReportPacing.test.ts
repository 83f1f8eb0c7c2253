import { expect } from 'chai';
import { hostLimits } from '../src/hostLimits.js';
import { ReportPacing } from '../src/ReportPacing.js';

const processors = 1.35;
const limitPerSecond = hostLimits.maxReportsPerProcessorSecond * processors;

/** The load is played for a while before it is measured, over many pauses. */
const measuredFromMs = 5000;
const measuredMs = 40_000;

/**
 * Plays reports of busy workers: each asks again after the pause and gets its answer when its next task ends.
 *
 * @returns reports per second and the mean delay until an end is learned, in milliseconds, of the last seconds
 */
const play = (
  workers: number,
  endsPerWorkerSecond: number,
): { readonly perSecond: number; readonly delayMs: number } => {
  const pacing = new ReportPacing(processors, 0);
  const endEveryMs = 1000 / endsPerWorkerSecond;
  const askAt = Array.from({ length: workers }, (_, index) => (index * 37) % 1400);
  const endAt = Array.from({ length: workers }, (_, index) => (index * 61) % endEveryMs);
  let reports = 0;
  let delaySumMs = 0;
  for (let now = 0; now < measuredFromMs + measuredMs; now += 5) {
    for (let index = 0; index < workers; index += 1) {
      const asked = askAt[index] ?? 0;
      const ended = endAt[index] ?? 0;
      if (now < asked || now < ended) continue;
      pacing.recordReport();
      if (now >= measuredFromMs) {
        reports += 1;
        delaySumMs += now - ended;
      }
      askAt[index] = now + pacing.pauseMs;
      endAt[index] = Math.max(ended + endEveryMs, now);
    }
    pacing.update(workers, now);
  }
  return { perSecond: (reports * 1000) / measuredMs, delayMs: delaySumMs / reports };
};

describe('pacing of reports', () => {
  // Load pattern: a large fleet with many short tasks, whose ends the leader can take one by one. Guards against ends
  // that are learned a quarter of a second late although the leader has the time.
  it('learns ends at once while the leader can take them', () => {
    const { perSecond, delayMs } = play(245, 2);
    expect(perSecond).to.be.within(450, 500);
    expect(delayMs).to.be.below(20);
  });

  // Load pattern: a full fleet on which each report returns at once. Guards against a leader whose processor time is
  // used up by reports, so that none is left for permits and starts.
  it('keeps the reports of a full fleet within the limit of the host', () => {
    for (const workers of [100, 380, 1300]) {
      const { perSecond } = play(workers, 25);
      expect(perSecond, `${workers} workers`).to.be.at.most(limitPerSecond);
    }
  });
});
