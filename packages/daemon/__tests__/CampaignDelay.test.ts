import { expect } from 'chai';
import { CampaignDelay } from '../src/CampaignDelay.js';
import { computeLeaderFitness } from '../src/index.js';
import { hostLimits } from '../src/hostLimits.js';

const large = computeLeaderFitness({ processors: 1.35, memoryMb: 602, linkMbps: 200 });
const small = computeLeaderFitness({ processors: 0.243, memoryMb: 210, linkMbps: 10 });

/** Load pattern: a fleet whose hosts differ in processor, memory and link, of which a few can carry the leader. */
describe('campaign delay', () => {
  // Guards against a leader on a host whose link cannot carry the stored state. On a fleet of 44 hosts such a leader
  // was elected during a rolling restart and never finished loading.
  it('lets the fittest hosts campaign before all others', () => {
    const fittest = new CampaignDelay(large);
    const unfit = new CampaignDelay(small);
    for (const delay of [fittest, unfit]) delay.recordBest(large);
    expect(fittest.computeMs(0, 1)).to.be.at.most(hostLimits.campaignJitterMs);
    expect(unfit.computeMs(0, 0)).to.be.above(10 * hostLimits.campaignJitterMs);
  });

  // Guards against a slower failover on sites whose hosts are alike, whatever their size.
  it('does not delay hosts that are alike', () => {
    for (const fitness of [small, large]) {
      const delay = new CampaignDelay(fitness);
      delay.recordBest(fitness);
      expect(delay.computeMs(0, 1)).to.be.at.most(hostLimits.campaignJitterMs);
      expect(delay.isOutranked(fitness)).to.equal(false);
    }
  });

  it('ranks a host by its scarcest resource', () => {
    const withSlowLink = computeLeaderFitness({ processors: 0.81, memoryMb: 490, linkMbps: 10 });
    expect(withSlowLink).to.be.below(0.2);
    expect(new CampaignDelay(withSlowLink).isOutranked(large)).to.equal(true);
    expect(new CampaignDelay(large).isOutranked(withSlowLink)).to.equal(false);
  });

  it('holds back a host that has handed over, and ignores an invalid fitness', () => {
    const delay = new CampaignDelay(large);
    delay.recordBest(Number.NaN);
    delay.recordBest(Infinity);
    expect(delay.isBest).to.equal(true);
    delay.holdBack(1000);
    expect(delay.computeMs(1000, 0)).to.equal(hostLimits.resignationPauseMs);
    expect(delay.computeMs(1000 + hostLimits.resignationPauseMs, 0)).to.equal(0);
  });
});
