import { expect } from 'chai';
import { ShardHarness } from './ShardHarness.js';

const capacity = { processors: 4, memoryMb: 4, accelerators: 0 };
const half = { processors: 2, memoryMb: 1, accelerators: 0 };

const listActions = (harness: ShardHarness): readonly string[] =>
  harness.commands.map(({ taskId, action }) => `${action} ${taskId.split('/')[0] ?? ''}`);

describe('tasks that use more than they declared', () => {
  // Guards against new work on a worker that is full because a task uses more than it declared.
  it('starts nothing on a worker whose reported use leaves no capacity', () => {
    const harness = new ShardHarness([1], capacity);
    harness.submit({ size: half });
    const [task] = harness.step();
    if (task !== undefined) harness.reportChange(task, 'running', 2);
    const next = harness.submit({ size: half });
    harness.step(100);
    expect(harness.readState(next)).to.equal('waiting');
    expect(harness.commands).to.deep.equal([]);
  });

  // Guards against a start in capacity that a growing task uses before its next report.
  it('expects further growth until a report shows none', () => {
    const harness = new ShardHarness([1], capacity);
    harness.submit({ size: { processors: 1, memoryMb: 1, accelerators: 0 } });
    const [task] = harness.step();
    if (task === undefined) throw new Error('nothing started');
    harness.reportChange(task, 'running', 1);
    harness.reportChange(task, 'running', 2);
    const next = harness.submit({ size: half });
    harness.step();
    expect(harness.readState(next)).to.equal('waiting');
    harness.step(1000);
    expect(harness.readState(next)).to.equal('running');
  });

  // Guards against use above the capacity of a worker, and against a stop of a task that was not
  // throttled first.
  it('throttles first and then stops the newest idempotent task', () => {
    const harness = new ShardHarness([1], capacity);
    harness.submit({ size: half });
    const [older] = harness.step();
    harness.submit({ size: half });
    const [newer] = harness.step(10);
    if (older === undefined || newer === undefined) throw new Error('nothing started');
    harness.reportChange(older, 'running', 1.5);
    harness.reportChange(newer, 'running', 1.5);
    harness.step(10);
    expect(listActions(harness)).to.deep.equal(['throttle q1', 'throttle q2']);
    harness.step(2000);
    expect(listActions(harness).slice(2)).to.deep.equal(['stop q2']);
  });

  // Guards against a second run of non-idempotent work.
  it('never stops a non-idempotent task without checkpoint, and checkpoints a checkpointable one', () => {
    const harness = new ShardHarness([1], capacity);
    harness.submit({ size: half, idempotent: false, checkpointable: true });
    const [older] = harness.step();
    harness.submit({ size: half, idempotent: false });
    const [newer] = harness.step(10);
    if (older === undefined || newer === undefined) throw new Error('nothing started');
    harness.reportChange(newer, 'running', 2);
    for (let round = 0; round < 5; round += 1) harness.step(1500);
    expect(listActions(harness).filter((action) => action.endsWith('q2'))).to.deep.equal([
      'throttle q2',
    ]);
    expect(listActions(harness)).to.include('checkpoint q1');
  });
});
