import { expect } from 'chai';
import { ShardHarness } from './ShardHarness.js';

const capacity = { processors: 4, memoryMb: 4, accelerators: 0 };
const whole = { processors: 4, memoryMb: 1, accelerators: 0 };

describe('placement', () => {
  // Guards against a gang that starves because small tasks use all capacity that becomes free.
  it('starts a gang although small tasks keep arriving', () => {
    const harness = new ShardHarness([1, 1, 1], capacity);
    for (let index = 0; index < 30; index += 1) harness.submit({ team: 'b', runTimeMs: 2000 });
    harness.step();
    const gang = harness.submit({ kind: 'gang', tasks: 3, size: whole });
    for (let round = 0; round < 40 && harness.readState(gang) === 'waiting'; round += 1) {
      const [oldest] = harness.running.values();
      if (oldest !== undefined) harness.reportChange(oldest, 'succeeded');
      harness.submit({ team: 'b', runTimeMs: 2000 });
      harness.step(100);
    }
    expect(harness.readState(gang)).to.equal('running');
  });

  // Guards against two gangs that each reserve a part of the capacity that the other needs.
  it('starts two gangs that need the whole fleet one after the other', () => {
    const harness = new ShardHarness([1, 1], capacity);
    harness.submit({ size: whole });
    const [first] = harness.step();
    const gangs = ['b', 'c'].map((team) =>
      harness.submit({ team, kind: 'gang', tasks: 2, size: whole }),
    );
    harness.step(200);
    expect(gangs.map((id) => harness.readState(id))).to.deep.equal(['waiting', 'waiting']);
    if (first !== undefined) harness.reportChange(first, 'succeeded');
    harness.step(200);
    expect(gangs.map((id) => harness.readState(id))).to.deep.equal(['running', 'waiting']);
    for (const task of [...harness.running.values()]) harness.reportChange(task, 'succeeded');
    harness.step(200);
    expect(gangs.map((id) => harness.readState(id))).to.deep.equal(['succeeded', 'running']);
  });

  // Guards against gangs that starve in the intervals between reservations.
  it('starts several gangs although small tasks keep arriving', () => {
    const harness = new ShardHarness([1, 1], capacity);
    for (let index = 0; index < 20; index += 1) harness.submit({ team: 'b', runTimeMs: 2000 });
    harness.step();
    const gangs = [0, 1, 2].map(() => harness.submit({ kind: 'gang', tasks: 2, size: whole }));
    const started = new Set<string>();
    for (let round = 0; round < 400 && started.size < gangs.length; round += 1) {
      const [oldest] = harness.running.values();
      if (oldest !== undefined) harness.reportChange(oldest, 'succeeded');
      harness.submit({ team: 'b', runTimeMs: 2000 });
      for (const { assignment } of harness.step(100)) started.add(assignment.request.id);
      for (const id of started) if (!gangs.includes(id)) started.delete(id);
    }
    expect([...started].sort()).to.deep.equal(gangs);
  });

  // Guards against gangs of a large team that starve gangs of other teams, and the other way round.
  it('makes three reservations for gangs by share and then one by age', () => {
    const harness = new ShardHarness([1, 1], capacity);
    for (let index = 0; index < 8; index += 1) harness.submit({ runTimeMs: 2000 });
    harness.step();
    const names = ['a', 'a', 'b', 'b', 'b', 'b'].map((team) =>
      harness.submit({ team, kind: 'gang', tasks: 2, size: whole }),
    );
    const started: string[] = [];
    for (let round = 0; round < 800 && started.length < 4; round += 1) {
      const [oldest] = harness.running.values();
      if (oldest !== undefined) harness.reportChange(oldest, 'succeeded');
      for (let index = 0; index < 2; index += 1) harness.submit({ team: 'c', runTimeMs: 2000 });
      for (const { assignment } of harness.step(100)) {
        const { id } = assignment.request;
        if (names.includes(id) && !started.includes(id)) started.push(id);
      }
    }
    expect(started).to.deep.equal([names[2], names[3], names[4], names[0]]);
  });

  // Guards against a large task that starves because smaller tasks of other teams use all capacity
  // that becomes free.
  it('starts a large task of a team below its share although small tasks keep arriving', () => {
    const harness = new ShardHarness([1], capacity);
    for (let index = 0; index < 8; index += 1) harness.submit({ runTimeMs: 2000 });
    harness.step();
    const large = harness.submit({ team: 'b', size: whole });
    for (let round = 0; round < 60 && harness.readState(large) === 'waiting'; round += 1) {
      const [oldest] = harness.running.values();
      if (oldest !== undefined) harness.reportChange(oldest, 'succeeded');
      harness.submit({ runTimeMs: 2000 });
      harness.step(100);
    }
    expect(harness.readState(large)).to.equal('running');
  });

  // Guards against reserved capacity that stays idle, and against backfill that runs for too long.
  it('backfills reserved capacity with work that ends before the gang can start', () => {
    const harness = new ShardHarness([1, 1], capacity);
    harness.submit({ size: whole, runTimeMs: 100_000 });
    harness.step();
    const gang = harness.submit({ kind: 'gang', tasks: 2, size: whole });
    harness.step(1100);
    const long = harness.submit({ team: 'b', runTimeMs: 60_000 });
    const short = harness.submit({ team: 'c', runTimeMs: 10_000 });
    harness.step(300);
    harness.step(300);
    expect([gang, long, short].map((id) => harness.readState(id))).to.deep.equal([
      'waiting',
      'waiting',
      'running',
    ]);
  });

  // Guards against a reservation for a gang that can never start in this shard.
  it('reserves nothing for a gang that is larger than the shard', () => {
    const harness = new ShardHarness([1, 1], capacity);
    harness.submit({ kind: 'gang', tasks: 3, size: whole });
    harness.step(200);
    const small = harness.submit({ team: 'b', size: whole });
    harness.step(200);
    expect(harness.readState(small)).to.equal('running');
  });

  // Guards against a partly placed or retried request that loses its position in the queue.
  it('keeps the order of arrival when a request is requeued', () => {
    const harness = new ShardHarness([1], capacity);
    const first = harness.submit({ kind: 'service', tasks: 6 });
    const second = harness.submit({ kind: 'service', tasks: 6 });
    const started = harness.step();
    expect(started.map(({ assignment }) => assignment.request.id)).to.deep.equal(
      Array(4).fill(first),
    );
    const [task] = started;
    if (task !== undefined) harness.reportChange(task, 'failed');
    for (let round = 0; round < 3; round += 1) {
      const ids = harness.step(1000).map(({ assignment }) => assignment.request.id);
      expect(ids).not.to.include(second);
    }
  });

  // Guards against urgent work and services on slow workers while faster ones are idle.
  it('places urgent work and services on faster workers and other work on slower ones', () => {
    const harness = new ShardHarness([0.5, 1, 2], capacity);
    const ids = [
      harness.submit({ urgent: true }),
      harness.submit({ kind: 'service' }),
      harness.submit({}),
    ];
    const places = new Map(
      harness.step().map(({ worker, assignment }) => [assignment.request.id, worker]),
    );
    expect(ids.map((id) => places.get(id))).to.deep.equal(['w2', 'w2', 'w0']);
  });

  // Guards against accelerators that stay idle because other work uses the memory of their worker.
  it('reserves capacity for free accelerators while work for them waits', () => {
    const harness = new ShardHarness([1], { processors: 4, memoryMb: 4, accelerators: 2 });
    const size = { processors: 1, memoryMb: 2, accelerators: 1 };
    const acceleratorTasks = [0, 1, 2].map(() => harness.submit({ size }));
    const [first, second] = harness.step(600);
    const others = [0, 1, 2, 3].map(() => harness.submit({ team: 'b' }));
    harness.step(600);
    if (first !== undefined) harness.reportChange(first, 'succeeded');
    harness.step(600);
    expect(acceleratorTasks.map((id) => harness.readState(id))).to.deep.equal([
      'succeeded',
      'running',
      'running',
    ]);
    if (second !== undefined) harness.reportChange(second, 'succeeded');
    // Nothing waits for accelerators any more, so nothing is reserved.
    harness.step(600);
    expect(others.filter((id) => harness.readState(id) === 'running')).to.have.length(2);
  });

  // Guards against accelerators that stay idle because a quarter of the memory of their worker is
  // open to other work.
  it('reserves all but a small part of the capacity that waiting work for accelerators needs', () => {
    const harness = new ShardHarness([1], { processors: 16, memoryMb: 16, accelerators: 4 });
    const size = { processors: 4, memoryMb: 4, accelerators: 1 };
    const acceleratorTasks = Array.from({ length: 7 }, () =>
      harness.submit({ size, runTimeMs: 100_000 }),
    );
    const [first] = harness.step(600);
    const others = [0, 1].map(() => harness.submit({ team: 'b', runTimeMs: 100_000 }));
    harness.step(600);
    if (first !== undefined) harness.reportChange(first, 'succeeded');
    harness.step(600);
    expect(acceleratorTasks.filter((id) => harness.readState(id) === 'running')).to.have.length(4);
    expect(others.map((id) => harness.readState(id))).to.deep.equal(['waiting', 'waiting']);
  });

  // Guards against a number of reservations that also counts workers with an accelerator reserve,
  // which cannot be reserved.
  it('limits the reservations by the number of workers without an accelerator reserve', () => {
    const speeds = Array.from({ length: 12 }, () => 1);
    const harness = new ShardHarness(speeds, { processors: 16, memoryMb: 16, accelerators: 1 });
    const size = { processors: 16, memoryMb: 16, accelerators: 1 };
    for (let index = 0; index < 24; index += 1) harness.submit({ size, runTimeMs: 100_000 });
    harness.step(600);
    const small = { processors: 2, memoryMb: 2, accelerators: 0 };
    const others = ['b', 'c'].map((team) => harness.submit({ team, size: small }));
    for (let round = 0; round < 10; round += 1) harness.step(200);
    for (const task of [...harness.running.values()]) harness.reportChange(task, 'succeeded');
    harness.step(50);
    expect(others.filter((id) => harness.readState(id) === 'running')).to.have.length(1);
  });

  // Guards against work that never starts because the capacity that it needs is in the accelerator
  // reserve.
  it('starts a large task without accelerators although work for accelerators waits', () => {
    const harness = new ShardHarness([1], { processors: 8, memoryMb: 8, accelerators: 2 });
    const size = { processors: 5, memoryMb: 5, accelerators: 1 };
    const acceleratorTasks = [0, 1].map(() => harness.submit({ size }));
    harness.step(600);
    const large = harness.submit({
      team: 'b',
      size: { processors: 3, memoryMb: 3, accelerators: 0 },
    });
    const small = harness.submit({ team: 'b' });
    harness.step(600);
    expect(acceleratorTasks.map((id) => harness.readState(id))).to.deep.equal([
      'running',
      'waiting',
    ]);
    expect(harness.readState(small)).to.equal('waiting');
    expect(harness.readState(large)).to.equal('running');
  });

  // Guards against a reservation that is made, found unusable and made again because its capacity
  // is in the accelerator reserve.
  it('starts a task with a reservation on a worker with an accelerator reserve', () => {
    const harness = new ShardHarness([1], { processors: 8, memoryMb: 8, accelerators: 2 });
    const size = { processors: 5, memoryMb: 5, accelerators: 1 };
    for (let index = 0; index < 3; index += 1) harness.submit({ size, runTimeMs: 100_000 });
    harness.step(600);
    const small = harness.submit({ team: 'b' });
    harness.step(600);
    expect(harness.readState(small)).to.equal('waiting');
    for (let round = 0; round < 10; round += 1) harness.step(200);
    expect(harness.readState(small)).to.equal('running');
  });

  // Guards against work that waits although the few waiting tasks for accelerators cannot use the
  // idle accelerators.
  it('reserves nothing for accelerators if waiting work needs only a few of them', () => {
    const harness = new ShardHarness([1], { processors: 8, memoryMb: 8, accelerators: 4 });
    const size = { processors: 5, memoryMb: 5, accelerators: 1 };
    const acceleratorTasks = [0, 1].map(() => harness.submit({ size, runTimeMs: 100_000 }));
    harness.step(600);
    const others = [0, 1, 2].map(() => harness.submit({ team: 'b', runTimeMs: 60_000 }));
    harness.step(600);
    const states = [...acceleratorTasks, ...others].map((id) => harness.readState(id));
    expect(states).to.deep.equal(['running', 'waiting', 'running', 'running', 'running']);
  });

  // Guards against an accelerator reserve for a gang in addition to the reservation of the gang.
  it('reserves nothing for accelerators of a gang that has a reservation', () => {
    const harness = new ShardHarness([1, 1], { processors: 4, memoryMb: 4, accelerators: 2 });
    const runTimeMs = 100_000;
    harness.submit({ size: { processors: 4, memoryMb: 4, accelerators: 2 }, runTimeMs });
    harness.submit({ size: { processors: 1, memoryMb: 1, accelerators: 0 }, runTimeMs });
    harness.step(600);
    const size = { processors: 2, memoryMb: 2, accelerators: 1 };
    const gang = harness.submit({ kind: 'gang', tasks: 3, size });
    for (let round = 0; round < 4; round += 1) harness.step(600);
    const other = harness.submit({ team: 'b', runTimeMs: 60_000 });
    for (let round = 0; round < 2; round += 1) harness.step(600);
    expect([gang, other].map((id) => harness.readState(id))).to.deep.equal(['waiting', 'running']);
  });

  // Guards against processors that stay idle because the memory is used by work that needs few
  // processors, and against an older request that is skipped for ever.
  it('prefers work whose shape matches the free capacity, but not for ever', () => {
    const harness = new ShardHarness([1], capacity);
    const wide = { processors: 3, memoryMb: 1, accelerators: 0 };
    harness.submit({ size: { processors: 1, memoryMb: 3, accelerators: 0 } });
    harness.submit({ size: wide });
    let [, running] = harness.step(200);
    // Declared to run long, so that it does not reserve the worker during the test.
    const small = harness.submit({ team: 'b', runTimeMs: 60_000 });
    const rounds: number[] = [];
    for (let round = 0; round < 40 && harness.readState(small) === 'waiting'; round += 1) {
      const next = harness.submit({ team: 'b', size: wide });
      harness.step(200);
      if (running !== undefined) harness.reportChange(running, 'succeeded');
      [running] = harness.step(200);
      if (harness.readState(next) === 'running') rounds.push(round);
    }
    expect(rounds.length).to.be.within(8, 32);
    expect(harness.readState(small)).to.equal('running');
  });
});
