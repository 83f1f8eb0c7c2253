import { expect } from 'chai';
import { AdviceQueue } from '../src/AdviceQueue.js';
import { hostLimits } from '../src/hostLimits.js';

type AdviceCommand = Parameters<AdviceQueue['add']>[0];

const createCommand = (
  stepKey: string,
  expectedMs: number,
  priority: number,
  isEarly = false,
): AdviceCommand => ({
  kind: 'advise',
  stepKey,
  service: 'desk',
  workers: [],
  expectedMs,
  validMs: 2000,
  priority,
  isEarly,
});

describe('the queue of requests for permits', () => {
  // Guards against lasting tasks that do not start again (LOST, days with killed leaders and workers that are cut off):
  // the long calls of their service were not sent as long as its short ones were, which use the leader's own channel.
  it('gives the long calls of a service a turn while its short calls are sent', () => {
    const queue = new AdviceQueue();
    const long = createCommand('lasting', 800, 2);
    const short = createCommand('short', 20, 1);
    queue.add(long, 0);
    for (let now = 0; now < hostLimits.adviceTurnMs; now += 100) {
      queue.add(short, now);
      expect(queue.listOverdue(now)).to.deep.equal([]);
      queue.takeSent(short, now);
    }
    queue.add(short, hostLimits.adviceTurnMs);
    expect(queue.listOverdue(hostLimits.adviceTurnMs)).to.deep.equal([long]);
    queue.takeSent(long, hostLimits.adviceTurnMs);
    expect(queue.listOverdue(hostLimits.adviceTurnMs)).to.deep.equal([]);
  });

  // Guards against renewals for tasks without room that take all channels, and against tasks that wait on although they
  // have room since.
  it('puts early requests last, without a turn, until a later one replaces them', () => {
    const queue = new AdviceQueue();
    const early = createCommand('large', 600, 0, true);
    const lasting = createCommand('lasting', 800, 2);
    queue.add(early, 0);
    queue.add(lasting, 0);
    queue.setTurns(['large', 'lasting']);
    expect(queue.list()).to.deep.equal([lasting, early]);
    expect(queue.listTurns()).to.deep.equal([lasting]);
    expect(queue.listOverdue(hostLimits.adviceTurnMs)).to.deep.equal([lasting]);
    const due = createCommand('large', 600, 0);
    queue.add(due, 1);
    expect(queue.list()).to.deep.equal([due, lasting]);
  });
});
