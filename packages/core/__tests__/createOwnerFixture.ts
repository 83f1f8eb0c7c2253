import type {
  Failure,
  JournalEntry,
  Report,
  Request,
  SubmitCall,
  TaskCommand,
  TaskReport,
} from '@toucanline/schema';
import { EventRecorder, EventStream, Invariant, Policy, Shard, type Effect } from '../src/index.js';
import { CountingRandom } from './CountingRandom.js';
import { ManualClock } from './ManualClock.js';

const size = { processors: 1, memoryMb: 1, accelerators: 0 };
const room = { processors: 4, memoryMb: 4, accelerators: 0 };
const request: Request = {
  id: 's1.q',
  digest: 'd',
  team: 'a',
  queue: 'batch',
  kind: 'batch',
  idempotent: true,
  urgent: false,
  checkpointable: false,
  detached: false,
  tasks: 1,
  size,
  command: '',
  runTimeMs: 1000,
};

const submission: SubmitCall = {
  call: 'submit',
  shard: 's1',
  request,
  remainingMs: 60_000,
  detached: 'no',
};

const describeTask = (attempt: number, change: Partial<TaskReport>): TaskReport => ({
  assignment: { taskId: `s1.q/0/1.${attempt}`, index: 0, attempt, request },
  state: 'running',
  usage: size,
  ...change,
});

/** Owner of a shard under test. */
export interface OwnerFixture {
  readonly clock: ManualClock;
  readonly shard: Shard;
  /** Request that an entry submits, and whose tasks {@link OwnerFixture.describeTask} describes. */
  readonly submission: SubmitCall;
  /** Entries that the owner wrote; they are committed by {@link OwnerFixture.countStarts}. */
  readonly journal: JournalEntry[];
  /** Creates the report of a worker about a task of the request. */
  readonly describeTask: (attempt: number, change: Partial<TaskReport>) => TaskReport;
  /** Applies full reports of a worker, whose clock counts the milliseconds since its boot. */
  readonly report: (worker: string, tasks: readonly TaskReport[], clockMs?: number) => void;
  /** Advances the time and dispatches; commits fail with `failure` if given. Returns the number of starts. */
  readonly countStarts: (failure?: Failure) => number;
  /** Advances the time and dispatches. Returns the commands to workers. */
  readonly takeCommands: () => readonly TaskCommand[];
}

/** Creates a shard under a new owner, with two workers that have not reported yet. */
export const createOwnerFixture = (entries: readonly JournalEntry[] = []): OwnerFixture => {
  const clock = new ManualClock();
  const recorder = new EventRecorder(clock, new EventStream(), 'p', 'dc1');
  const policy = new Policy({
    schema: 1,
    shards: { s1: { dataCentre: 'dc1' } },
    queues: { batch: { kind: 'batch', idempotent: true } },
    teams: { a: { share: 1 } },
  });
  const invariant = new Invariant(recorder, true);
  const context = { shard: 's1', dataCentre: 'dc1', epoch: 2, owner: 'p', provisional: false };
  const random = new CountingRandom();
  const shard = new Shard({ ...context, clock, random, recorder, invariant }, 'p', policy);
  shard.loadJournal(entries);
  shard.applyHosts(
    ['w0', 'w1'].map((id) => ({
      id,
      role: 'worker',
      state: 'live',
      dataCentre: 'dc1',
      address: id,
    })),
  );
  const report: OwnerFixture['report'] = (worker, tasks, clockMs = 100_000) => {
    const content: Report = {
      worker,
      bootId: 'boot',
      clockMs,
      sequence: 1,
      state: 'live',
      dataCentre: 'dc1',
      rack: 'r',
      room,
      speed: 1,
      epoch: 2,
      owner: 'p',
      leaseUntil: 110_000,
      full: true,
      tasks: [...tasks],
      changes: [],
    };
    // The second report has a lease, because the clock of the worker is known by then.
    for (let contact = 0; contact < 2; contact += 1) {
      shard.createRenewal(worker);
      shard.applyReport(worker, content, clock.now());
    }
  };
  const journal: JournalEntry[] = [];
  const advanceAndDispatch = (failure?: Failure): readonly Effect[] => {
    clock.advance(500);
    shard.tick();
    shard.dispatch(10);
    const effects = shard.takeEffects();
    for (const effect of effects) {
      if (effect.effect !== 'commit') continue;
      if (failure === undefined) journal.push(effect.entry);
      shard.applyCommitResult(effect.ticket, failure);
    }
    return effects;
  };
  const countStarts = (failure?: Failure): number =>
    advanceAndDispatch(failure).filter(({ effect }) => effect === 'start').length;
  const takeCommands = (): readonly TaskCommand[] =>
    advanceAndDispatch().flatMap((effect) => (effect.effect === 'command' ? [effect.command] : []));
  return { clock, shard, submission, journal, describeTask, report, countStarts, takeCommands };
};
