import { expect } from 'chai';
import { ShardHarness } from './ShardHarness.js';

const room = { processors: 4, memoryMb: 4, accelerators: 0 };
const half = { processors: 2, memoryMb: 1, accelerators: 0 };

const listActions = (model: ShardHarness): readonly string[] =>
  model.commands.map(({ taskId, action }) => `${action} ${taskId.split('/')[0] ?? ''}`);

describe('tasks above their declaration', () => {
  // Guards against new work on a worker that a lying task has filled.
  it('starts nothing where the reported use leaves no room', () => {
    const model = new ShardHarness([1], room);
    model.submit({ size: half });
    const [task] = model.step();
    if (task !== undefined) model.reportChange(task, 'running', 2);
    const next = model.submit({ size: half });
    model.step(100);
    expect(model.readState(next)).to.equal('waiting');
    expect(model.commands).to.deep.equal([]);
  });

  // Guards against a start in room that a growing task takes before its next report.
  it('counts with further growth until a report shows none', () => {
    const model = new ShardHarness([1], room);
    model.submit({ size: { processors: 1, memoryMb: 1, accelerators: 0 } });
    const [task] = model.step();
    if (task === undefined) throw new Error('nothing started');
    model.reportChange(task, 'running', 1);
    model.reportChange(task, 'running', 2);
    const next = model.submit({ size: half });
    model.step();
    expect(model.readState(next)).to.equal('waiting');
    model.step(1000);
    expect(model.readState(next)).to.equal('running');
  });

  // Guards against a worker over its room, and against stopping work that was not told to shrink.
  it('throttles first and then stops the newest idempotent task', () => {
    const model = new ShardHarness([1], room);
    model.submit({ size: half });
    const [older] = model.step();
    model.submit({ size: half });
    const [newer] = model.step(10);
    if (older === undefined || newer === undefined) throw new Error('nothing started');
    model.reportChange(older, 'running', 1.5);
    model.reportChange(newer, 'running', 1.5);
    model.step(10);
    expect(listActions(model)).to.deep.equal(['throttle q1', 'throttle q2']);
    model.step(2000);
    expect(listActions(model).slice(2)).to.deep.equal(['stop q2']);
  });

  // Guards against a second run of work that must not run twice.
  it('never stops a non-idempotent task without checkpoint, and checkpoints the other', () => {
    const model = new ShardHarness([1], room);
    model.submit({ size: half, idempotent: false, checkpointable: true });
    const [older] = model.step();
    model.submit({ size: half, idempotent: false });
    const [newer] = model.step(10);
    if (older === undefined || newer === undefined) throw new Error('nothing started');
    model.reportChange(newer, 'running', 2);
    for (let round = 0; round < 5; round += 1) model.step(1500);
    expect(listActions(model).filter((action) => action.endsWith('q2'))).to.deep.equal([
      'throttle q2',
    ]);
    expect(listActions(model)).to.include('checkpoint q1');
  });
});
