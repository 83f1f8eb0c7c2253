import { expect } from 'chai';
import { JobRateLimiter } from '../src/JobRateLimiter.js';

/** Load pattern: a takeover, after which a new leader learns of the jobs of the last minutes in no order. */
describe('job rate limiter', () => {
  // Guards against accounts that count as beyond their rate after a takeover, so that their jobs are served last: a job
  // from before the latest one took away the tokens of the time between them.
  it('takes no tokens for jobs from before the latest one', () => {
    const limiter = new JobRateLimiter();
    expect(limiter.takeToken(1, 60_000)).to.equal(true);
    for (let at = 0; at < 60_000; at += 1000) expect(limiter.takeToken(1, at)).to.equal(true);
    expect(limiter.takeToken(1, 60_100)).to.equal(true);
  });

  it('limits an account to its rate and a burst of two seconds', () => {
    const limiter = new JobRateLimiter();
    let taken = 0;
    for (let at = 0; at <= 10_000; at += 50) if (limiter.takeToken(3, at)) taken += 1;
    expect(taken).to.be.within(35, 37);
  });
});
