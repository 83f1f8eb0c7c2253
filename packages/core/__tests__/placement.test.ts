import { expect } from 'chai';
import { ShardHarness } from './ShardHarness.js';

const room = { processors: 4, memoryMb: 4, accelerators: 0 };
const whole = { processors: 4, memoryMb: 1, accelerators: 0 };

describe('placement', () => {
  // Guards against a gang that waits for ever because small tasks take every gap.
  it('starts a gang although small tasks keep arriving', () => {
    const model = new ShardHarness([1, 1, 1], room);
    for (let index = 0; index < 30; index += 1) model.submit({ team: 'b', runTimeMs: 2000 });
    model.step();
    const gang = model.submit({ kind: 'gang', tasks: 3, size: whole });
    for (let round = 0; round < 40 && model.readState(gang) === 'waiting'; round += 1) {
      const [oldest] = model.running.values();
      if (oldest !== undefined) model.reportChange(oldest, 'succeeded');
      model.submit({ team: 'b', runTimeMs: 2000 });
      model.step(100);
    }
    expect(model.readState(gang)).to.equal('running');
  });

  // Guards against two gangs that each hold a part of what the other needs.
  it('starts two gangs that need the whole fleet one after the other', () => {
    const model = new ShardHarness([1, 1], room);
    model.submit({ size: whole });
    const [first] = model.step();
    const gangs = ['b', 'c'].map((team) =>
      model.submit({ team, kind: 'gang', tasks: 2, size: whole }),
    );
    model.step(200);
    expect(gangs.map((id) => model.readState(id))).to.deep.equal(['waiting', 'waiting']);
    if (first !== undefined) model.reportChange(first, 'succeeded');
    model.step(200);
    expect(gangs.map((id) => model.readState(id))).to.deep.equal(['running', 'waiting']);
    for (const task of [...model.running.values()]) model.reportChange(task, 'succeeded');
    model.step(200);
    expect(gangs.map((id) => model.readState(id))).to.deep.equal(['succeeded', 'running']);
  });

  // Guards against gangs that starve in the pauses between reservations.
  it('starts several gangs although small tasks keep arriving', () => {
    const model = new ShardHarness([1, 1], room);
    for (let index = 0; index < 20; index += 1) model.submit({ team: 'b', runTimeMs: 2000 });
    model.step();
    const gangs = [0, 1, 2].map(() => model.submit({ kind: 'gang', tasks: 2, size: whole }));
    const started = new Set<string>();
    for (let round = 0; round < 400 && started.size < gangs.length; round += 1) {
      const [oldest] = model.running.values();
      if (oldest !== undefined) model.reportChange(oldest, 'succeeded');
      model.submit({ team: 'b', runTimeMs: 2000 });
      for (const { assignment } of model.step(100)) started.add(assignment.request.id);
      for (const id of started) if (!gangs.includes(id)) started.delete(id);
    }
    expect([...started].sort()).to.deep.equal(gangs);
  });

  // Guards against gangs of a large team that keep those of others waiting, and the other way round.
  it('reserves for gangs three times by share and then by age', () => {
    const model = new ShardHarness([1, 1], room);
    for (let index = 0; index < 8; index += 1) model.submit({ runTimeMs: 2000 });
    model.step();
    const names = ['a', 'a', 'b', 'b', 'b', 'b'].map((team) =>
      model.submit({ team, kind: 'gang', tasks: 2, size: whole }),
    );
    const started: string[] = [];
    for (let round = 0; round < 800 && started.length < 4; round += 1) {
      const [oldest] = model.running.values();
      if (oldest !== undefined) model.reportChange(oldest, 'succeeded');
      for (let index = 0; index < 2; index += 1) model.submit({ team: 'c', runTimeMs: 2000 });
      for (const { assignment } of model.step(100)) {
        const { id } = assignment.request;
        if (names.includes(id) && !started.includes(id)) started.push(id);
      }
    }
    expect(started).to.deep.equal([names[2], names[3], names[4], names[0]]);
  });

  // Guards against a large task that starves because smaller ones of others take each gap.
  it('starts a large task of a team below its share although small tasks keep arriving', () => {
    const model = new ShardHarness([1], room);
    for (let index = 0; index < 8; index += 1) model.submit({ runTimeMs: 2000 });
    model.step();
    const large = model.submit({ team: 'b', size: whole });
    for (let round = 0; round < 60 && model.readState(large) === 'waiting'; round += 1) {
      const [oldest] = model.running.values();
      if (oldest !== undefined) model.reportChange(oldest, 'succeeded');
      model.submit({ runTimeMs: 2000 });
      model.step(100);
    }
    expect(model.readState(large)).to.equal('running');
  });

  // Guards against reserved capacity that stays idle, and against lending it for too long.
  it('lends reserved capacity to work that ends before the gang can start', () => {
    const model = new ShardHarness([1, 1], room);
    model.submit({ size: whole, runTimeMs: 100_000 });
    model.step();
    const gang = model.submit({ kind: 'gang', tasks: 2, size: whole });
    model.step(1100);
    const long = model.submit({ team: 'b', runTimeMs: 60_000 });
    const short = model.submit({ team: 'c', runTimeMs: 10_000 });
    model.step(300);
    model.step(300);
    expect([gang, long, short].map((id) => model.readState(id))).to.deep.equal([
      'waiting',
      'waiting',
      'running',
    ]);
  });

  // Guards against capacity that is kept for a gang that can never start here.
  it('reserves nothing for a gang that is larger than the shard', () => {
    const model = new ShardHarness([1, 1], room);
    model.submit({ kind: 'gang', tasks: 3, size: whole });
    model.step(200);
    const small = model.submit({ team: 'b', size: whole });
    model.step(200);
    expect(model.readState(small)).to.equal('running');
  });

  // Guards against a partly placed or retried request that loses its place in the queue.
  it('keeps the order of arrival when a request goes back', () => {
    const model = new ShardHarness([1], room);
    const first = model.submit({ kind: 'service', tasks: 6 });
    const second = model.submit({ kind: 'service', tasks: 6 });
    const started = model.step();
    expect(started.map(({ assignment }) => assignment.request.id)).to.deep.equal(
      Array(4).fill(first),
    );
    const [task] = started;
    if (task !== undefined) model.reportChange(task, 'failed');
    for (let round = 0; round < 3; round += 1) {
      const ids = model.step(1000).map(({ assignment }) => assignment.request.id);
      expect(ids).not.to.include(second);
    }
  });

  // Guards against urgent work and services on slow workers while faster ones are idle.
  it('places urgent work and services on faster workers and other work on slower ones', () => {
    const model = new ShardHarness([0.5, 1, 2], room);
    const ids = [
      model.submit({ urgent: true }),
      model.submit({ kind: 'service' }),
      model.submit({}),
    ];
    const places = new Map(
      model.step().map(({ worker, assignment }) => [assignment.request.id, worker]),
    );
    expect(ids.map((id) => places.get(id))).to.deep.equal(['w2', 'w2', 'w0']);
  });

  // Guards against accelerators that stay idle because other work took the memory beside them.
  it('keeps room beside free accelerators while work for them waits', () => {
    const model = new ShardHarness([1], { processors: 4, memoryMb: 4, accelerators: 2 });
    const size = { processors: 1, memoryMb: 2, accelerators: 1 };
    const wanting = [0, 1, 2].map(() => model.submit({ size }));
    const [first, second] = model.step(600);
    const others = [0, 1, 2, 3].map(() => model.submit({ team: 'b' }));
    model.step(600);
    if (first !== undefined) model.reportChange(first, 'succeeded');
    model.step(600);
    expect(wanting.map((id) => model.readState(id))).to.deep.equal([
      'succeeded',
      'running',
      'running',
    ]);
    if (second !== undefined) model.reportChange(second, 'succeeded');
    // Nothing waits for accelerators any more, so nothing is kept.
    model.step(600);
    expect(others.filter((id) => model.readState(id) === 'running')).to.have.length(2);
  });

  // Guards against accelerators that stay idle because a quarter of the memory beside them is open to others.
  it('keeps all but a small part of the room that waiting work for accelerators needs', () => {
    const model = new ShardHarness([1], { processors: 16, memoryMb: 16, accelerators: 4 });
    const size = { processors: 4, memoryMb: 4, accelerators: 1 };
    const wanting = Array.from({ length: 7 }, () => model.submit({ size, runTimeMs: 100_000 }));
    const [first] = model.step(600);
    const others = [0, 1].map(() => model.submit({ team: 'b', runTimeMs: 100_000 }));
    model.step(600);
    if (first !== undefined) model.reportChange(first, 'succeeded');
    model.step(600);
    expect(wanting.filter((id) => model.readState(id) === 'running')).to.have.length(4);
    expect(others.map((id) => model.readState(id))).to.deep.equal(['waiting', 'waiting']);
  });

  // Guards against reservations for as many workers as if those beside accelerators could be reserved too.
  it('reserves by the number of workers that keep no room', () => {
    const speeds = Array.from({ length: 12 }, () => 1);
    const model = new ShardHarness(speeds, { processors: 16, memoryMb: 16, accelerators: 1 });
    const size = { processors: 16, memoryMb: 16, accelerators: 1 };
    for (let index = 0; index < 24; index += 1) model.submit({ size, runTimeMs: 100_000 });
    model.step(600);
    const small = { processors: 2, memoryMb: 2, accelerators: 0 };
    const others = ['b', 'c'].map((team) => model.submit({ team, size: small }));
    for (let round = 0; round < 10; round += 1) model.step(200);
    for (const task of [...model.running.values()]) model.reportChange(task, 'succeeded');
    model.step(50);
    expect(others.filter((id) => model.readState(id) === 'running')).to.have.length(1);
  });

  // Guards against work that never starts because room is kept that it needs itself.
  it('starts a large task without accelerators although work for accelerators waits', () => {
    const model = new ShardHarness([1], { processors: 8, memoryMb: 8, accelerators: 2 });
    const size = { processors: 5, memoryMb: 5, accelerators: 1 };
    const wanting = [0, 1].map(() => model.submit({ size }));
    model.step(600);
    const large = model.submit({
      team: 'b',
      size: { processors: 3, memoryMb: 3, accelerators: 0 },
    });
    const small = model.submit({ team: 'b' });
    model.step(600);
    expect(wanting.map((id) => model.readState(id))).to.deep.equal(['running', 'waiting']);
    expect(model.readState(small)).to.equal('waiting');
    expect(model.readState(large)).to.equal('running');
  });

  // Guards against a reservation that is made, found unusable and made again because its room is kept.
  it('starts a task that reserved room beside accelerators', () => {
    const model = new ShardHarness([1], { processors: 8, memoryMb: 8, accelerators: 2 });
    const size = { processors: 5, memoryMb: 5, accelerators: 1 };
    for (let index = 0; index < 3; index += 1) model.submit({ size, runTimeMs: 100_000 });
    model.step(600);
    const small = model.submit({ team: 'b' });
    model.step(600);
    expect(model.readState(small)).to.equal('waiting');
    for (let round = 0; round < 10; round += 1) model.step(200);
    expect(model.readState(small)).to.equal('running');
  });

  // Guards against work that waits beside idle accelerators which the little work for them cannot use.
  it('keeps nothing beside accelerators of which most are not asked for', () => {
    const model = new ShardHarness([1], { processors: 8, memoryMb: 8, accelerators: 4 });
    const size = { processors: 5, memoryMb: 5, accelerators: 1 };
    const wanting = [0, 1].map(() => model.submit({ size, runTimeMs: 100_000 }));
    model.step(600);
    const others = [0, 1, 2].map(() => model.submit({ team: 'b', runTimeMs: 60_000 }));
    model.step(600);
    const states = [...wanting, ...others].map((id) => model.readState(id));
    expect(states).to.deep.equal(['running', 'waiting', 'running', 'running', 'running']);
  });

  // Guards against room that is kept for a gang beside the room that it has reserved.
  it('keeps nothing beside accelerators for a gang with a reservation', () => {
    const model = new ShardHarness([1, 1], { processors: 4, memoryMb: 4, accelerators: 2 });
    const runTimeMs = 100_000;
    model.submit({ size: { processors: 4, memoryMb: 4, accelerators: 2 }, runTimeMs });
    model.submit({ size: { processors: 1, memoryMb: 1, accelerators: 0 }, runTimeMs });
    model.step(600);
    const size = { processors: 2, memoryMb: 2, accelerators: 1 };
    const gang = model.submit({ kind: 'gang', tasks: 3, size });
    for (let round = 0; round < 4; round += 1) model.step(600);
    const other = model.submit({ team: 'b', runTimeMs: 60_000 });
    for (let round = 0; round < 2; round += 1) model.step(600);
    expect([gang, other].map((id) => model.readState(id))).to.deep.equal(['waiting', 'running']);
  });

  // Guards against processors that stay idle because the memory went to work that needs few of them,
  // and against an older request that is passed over for ever.
  it('prefers work of the shape that is free, but not for ever', () => {
    const model = new ShardHarness([1], room);
    const wide = { processors: 3, memoryMb: 1, accelerators: 0 };
    model.submit({ size: { processors: 1, memoryMb: 3, accelerators: 0 } });
    model.submit({ size: wide });
    let [, running] = model.step(200);
    // Declared to run long, so that it does not reserve the worker during the test.
    const small = model.submit({ team: 'b', runTimeMs: 60_000 });
    const rounds: number[] = [];
    for (let round = 0; round < 40 && model.readState(small) === 'waiting'; round += 1) {
      const next = model.submit({ team: 'b', size: wide });
      model.step(200);
      if (running !== undefined) model.reportChange(running, 'succeeded');
      [running] = model.step(200);
      if (model.readState(next) === 'running') rounds.push(round);
    }
    expect(rounds.length).to.be.within(8, 32);
    expect(model.readState(small)).to.equal('running');
  });
});
