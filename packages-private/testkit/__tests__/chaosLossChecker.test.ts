import type { Problem, RequestView } from '@toucanline/schema';
import { expect } from 'chai';
import { ChaosLossChecker } from '../src/ChaosLossChecker.js';
import type { ChaosSubmission } from '../src/ChaosSubmission.js';

const id = 's1.q';
const submission = { text: 'planning-1' } as ChaosSubmission;
const missing = { title: 'recordMissing', ran: 'unknown' } as Problem;

describe('losses that the chaos program accepts as announced', () => {
  /** Checks a loss after answers with the given values of `durable` and after the given daemons were killed. */
  const check = (
    durable: readonly (boolean | undefined)[],
    killed: readonly string[],
    problem = missing,
  ): boolean => {
    const checker = new ChaosLossChecker({
      readEntryName: () => 'e0',
      findOwner: () => 's0',
      wasKilledSince: (process) => killed.includes(process),
    });
    checker.recordEntry(submission, 'dc1');
    for (const each of durable) checker.recordAnswer({ id, durable: each } as RequestView);
    return checker.isAnnounced(submission, id, problem);
  };

  // Guards against a check that accepts losses that violate a guarantee.
  it('are those after durable: false with a killed entry and a killed owner, answered as an unknown execution', () => {
    expect(check([false], ['e0', 's0'])).to.equal(true);
    expect(check([false], ['e0'])).to.equal(false);
    expect(check([false], ['s0'])).to.equal(false);
    expect(check([], ['e0', 's0'])).to.equal(false);
    expect(check([undefined], ['e0', 's0'])).to.equal(false);
    expect(check([true, false], ['e0', 's0'])).to.equal(false);
    expect(check([false, true], ['e0', 's0'])).to.equal(false);
    const absent = { title: 'unknownRequest', ran: 'unknown' } as Problem;
    expect(check([false], ['e0', 's0'], absent)).to.equal(false);
  });
});
