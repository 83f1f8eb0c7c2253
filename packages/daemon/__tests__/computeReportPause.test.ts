import { expect } from 'chai';
import { computeReportPause } from '../src/computeReportPause.js';
import { hostLimits } from '../src/hostLimits.js';

describe('the pause between reports', () => {
  // Pattern: one client account sends eight times its usual (cpwgo trouble-3). On a full fleet each report returned at
  // once, 25 times a second for each worker, and the leader had no processor time left for permits and starts.
  it('bounds the reports of a full fleet, whatever its size', () => {
    for (const workers of [1, 33, 130, 1300]) {
      const perSecond = (workers * 1000) / computeReportPause(workers);
      expect(perSecond, `${workers} workers`).to.be.at.most(hostLimits.maxReportsPerSecond);
    }
  });

  // Guards against ends that are learned late on a fleet with little to do.
  it('is short while few workers are busy', () => {
    expect(computeReportPause(5)).to.equal(hostLimits.minReportPauseMs);
  });
});
