import { expect } from 'chai';
import { computeReportPause } from '../src/computeReportPause.js';
import { hostLimits } from '../src/hostLimits.js';

describe('computeReportPause', () => {
  // Guards against a leader whose processor time is used up by reports, so that none is left for permits and starts. On
  // a full fleet each report returned at once, 25 times per second for each worker, when one client account sent eight
  // times its usual load (site cpwgo, day trouble-3).
  it('limits the reports of a full fleet of any size', () => {
    for (const workers of [1, 33, 130, 1300]) {
      const reportsPerSecond = (workers * 1000) / computeReportPause(workers);
      expect(reportsPerSecond, `${workers} workers`).to.be.at.most(hostLimits.maxReportsPerSecond);
    }
  });

  // Guards against learning of ends late while the fleet has little work.
  it('returns the shortest pause while few workers are busy', () => {
    expect(computeReportPause(5)).to.equal(hostLimits.minReportPauseMs);
  });
});
