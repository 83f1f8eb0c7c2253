import { expect } from 'chai';
import { FencingTokens } from '../src/membership/FencingTokens.js';
import { PermitCache } from '../src/PermitCache.js';
import { Worker } from '../src/Worker.js';
import { fixtures } from './fixtures.js';

describe('permit cache', () => {
  const worker = new Worker(fixtures.worker('w1'), 6000, new FencingTokens(1));

  // Guards against memory that grows with each job that ends while a request for its permits is in flight.
  it('ignores the answer for a step that was removed meanwhile', () => {
    const permits = new PermitCache();
    permits.markRequested('a.0.0');
    permits.removeStep('a.0.0');
    permits.recordAnswer('a.0.0', [worker], [{ workerId: 'w1', permit: 'p' }], 1000);
    expect(permits.hasVerdict('a.0.0', worker)).to.equal(false);
    expect(permits.listAllowed('a.0.0')).to.deep.equal([]);
    permits.markRequested('a.0.0');
    permits.removeStep('a.0.0');
    permits.recordFailure('a.0.0', 10);
    expect(permits.canRequest('a.0.0', 10)).to.equal(true);
  });

  it('lists the allowed workers, also when their permits have expired', () => {
    const permits = new PermitCache();
    const other = new Worker(fixtures.worker('w2'), 6000, new FencingTokens(1));
    permits.markRequested('a.0.0');
    permits.recordAnswer('a.0.0', [worker, other], [{ workerId: 'w1', permit: 'p' }], 1000);
    expect(permits.listAllowed('a.0.0')).to.deep.equal([worker]);
    expect(permits.findPermit('a.0.0', worker, 2000)).to.equal(undefined);
    expect(permits.hasVerdict('a.0.0', other)).to.equal(true);
  });
});
