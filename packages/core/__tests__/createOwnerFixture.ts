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

/** An owner under a test. */
export interface OwnerFixture {
  readonly clock: ManualClock;
  readonly shard: Shard;
  /** The request that an entry hands in, and that the workers of {@link OwnerFixture.describeTask} report. */
  readonly submission: SubmitCall;
  /** Entries that the owner wrote; they are confirmed with {@link OwnerFixture.countStarts}. */
  readonly journal: JournalEntry[];
  /** Describes a task of the request as a worker reports it. */
  readonly describeTask: (attempt: number, change: Partial<TaskReport>) => TaskReport;
  /** Applies full reports of a worker; its clock counts from its start. */
  readonly report: (worker: string, tasks: readonly TaskReport[], clockMs?: number) => void;
  /** Lets time pass and decides. Returns the number of starts; `failure` is the answer of the store. */
  readonly countStarts: (failure?: Failure) => number;
  /** Lets time pass and decides, and takes the commands to workers. */
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
    // The second report comes under a lease, because the clock of the worker is known by then.
    for (let contact = 0; contact < 2; contact += 1) {
      shard.createRenewal(worker);
      shard.applyReport(worker, content, clock.now());
    }
  };
  const journal: JournalEntry[] = [];
  const decide = (failure?: Failure): readonly Effect[] => {
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
    decide(failure).filter(({ effect }) => effect === 'start').length;
  const takeCommands = (): readonly TaskCommand[] =>
    decide().flatMap((effect) => (effect.effect === 'command' ? [effect.command] : []));
  return { clock, shard, submission, journal, describeTask, report, countStarts, takeCommands };
};
