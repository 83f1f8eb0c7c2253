import { expect } from 'chai';
import { computeReportPause } from '../src/computeReportPause.js';
import { hostLimits } from '../src/hostLimits.js';

describe('computeReportPause', () => {
  // Guards against a leader whose processor time is used up by reports, so that none is left for permits and starts. On
  // a full fleet each report returned at once, 25 times per second for each worker, when one client account sent eight
  // times its usual load (site cpwgo, day trouble-3).
  it('limits the reports of a full fleet of any size to a share of the processor time of any host', () => {
    for (const processors of [0.243, 0.675, 1.35]) {
      for (const workers of [1, 33, 130, 1300]) {
        const reportsPerSecond = (workers * 1000) / computeReportPause(workers, processors);
        expect(reportsPerSecond, `${workers} workers`).to.be.at.most(
          hostLimits.maxReportsPerProcessorSecond * processors,
        );
      }
    }
  });

  // Guards against learning of ends late while the fleet has little work.
  it('returns the shortest pause while few workers are busy', () => {
    expect(computeReportPause(5, 0.675)).to.equal(hostLimits.minReportPauseMs);
  });
});
