import { expect } from 'chai';
import { computePlanningPause } from '../src/computePlanningPause.js';
import { hostLimits } from '../src/hostLimits.js';

/** Load pattern: a burst of short jobs that keeps the processor of the leader busy. */
describe('the pause between planning passes', () => {
  // Guards against passes that leave too little of the processor for the calls, reports and permits of a burst.
  it('leaves three quarters of the processor for other work, however long passes take', () => {
    for (const passMs of [5, 30, 200]) {
      expect(passMs / (passMs + computePlanningPause(passMs))).to.be.at.most(0.25);
    }
  });

  it('does not delay a start on a leader that is not busy', () => {
    expect(computePlanningPause(0.2)).to.equal(hostLimits.minPlanIntervalMs);
  });
});
