import { expect } from 'chai';
import { AdviceQueue } from '../src/AdviceQueue.js';
import { hostLimits } from '../src/hostLimits.js';

type AdviceCommand = Parameters<AdviceQueue['add']>[0];

const createCommand = (stepKey: string, expectedMs: number, priority: number): AdviceCommand => ({
  kind: 'advise',
  stepKey,
  service: 'desk',
  workers: [],
  expectedMs,
  validMs: 2000,
  priority,
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
});
