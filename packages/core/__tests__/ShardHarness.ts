import type {
  Assignment,
  Report,
  Request,
  Resources,
  Roster,
  ShardSnapshot,
  TaskCommand,
  TaskDelta,
} from '@toucanline/schema';
import {
  Clock,
  EventRecorder,
  EventStream,
  Invariant,
  Policy,
  RandomSource,
  Shard,
} from '../src/index.js';

class ModelClock extends Clock {
  /**
   * Also the uptime of the workers, which use the same clock. It is long enough for their reports
   * to prove which tasks they did not start.
   */
  public nowMs = 1_000_000;

  public override now(): number {
    return this.nowMs;
  }

  public override wallTime(): number {
    return this.nowMs;
  }

  public override sleep(): Promise<void> {
    return Promise.resolve();
  }
}

class ConstantRandom extends RandomSource {
  public override next(): number {
    return 0.5;
  }

  public override token(): string {
    return 'token';
  }
}

interface StartedTask {
  readonly worker: string;
  readonly assignment: Assignment;
}

/** Test harness of a shard whose workers do what the test says. */
export class ShardHarness {
  public readonly clock = new ModelClock();
  public readonly recorder: EventRecorder;
  public readonly shard: Shard;
  public readonly running = new Map<string, StartedTask>();
  public readonly commands: TaskCommand[] = [];
  readonly #totalCapacity: Resources;
  readonly #speeds: readonly number[];
  readonly #epoch: number;
  #nextId = 1;

  /**
   * Creates the shard. With the snapshot of a previous owner this is the next owner, which starts
   * without reports of the workers.
   */
  public constructor(
    speeds: readonly number[],
    totalCapacity: Resources,
    previous?: ShardSnapshot,
    roster?: Pick<Roster, 'workers' | 'quarantined'>,
  ) {
    this.#totalCapacity = totalCapacity;
    this.#speeds = speeds;
    this.#epoch = (previous?.epoch ?? 0) + 1;
    this.recorder = new EventRecorder(this.clock, new EventStream(), 'model', 'dc1');
    const { clock, recorder } = this;
    const invariant = new Invariant(recorder, true);
    const policy = new Policy({
      schema: 1,
      shards: { s1: { dataCentre: 'dc1' } },
      queues: { batch: { kind: 'batch', retries: 1 } },
      teams: { a: { share: 1 }, b: { share: 1 }, c: { share: 1 } },
    });
    const random = new ConstantRandom();
    this.shard = new Shard(
      {
        shard: 's1',
        dataCentre: 'dc1',
        epoch: this.#epoch,
        owner: 'model',
        provisional: false,
        clock,
        random,
        recorder,
        invariant,
      },
      'model',
      policy,
    );
    if (previous === undefined) this.shard.loadJournal([], roster);
    this.shard.applyHosts(
      speeds.map((_, index) => ({
        id: `w${index}`,
        role: 'worker',
        state: 'live',
        dataCentre: 'dc1',
        address: `w${index}`,
      })),
    );
    if (previous !== undefined) {
      this.shard.restoreSnapshot(previous);
      this.shard.loadJournal([], roster);
      this.shard.applyLoads([]);
      return;
    }
    // A lease is granted from the second report on, once the clock of the worker is known.
    for (const _ of [1, 2])
      speeds.forEach((_speed, index) => {
        this.report(`w${index}`, [], true);
      });
    this.shard.applyLoads([]);
  }

  public submit(fields: Partial<Request>): string {
    const id = `q${this.#nextId}`;
    this.#nextId += 1;
    const request: Request = {
      id,
      digest: id,
      team: 'a',
      queue: 'batch',
      kind: 'batch',
      idempotent: true,
      urgent: false,
      checkpointable: false,
      detached: false,
      tasks: 1,
      size: { processors: 1, memoryMb: 1, accelerators: 0 },
      command: '',
      runTimeMs: 1000,
      ...fields,
    };
    const call = {
      call: 'submit',
      shard: 's1',
      request,
      remainingMs: 1e9,
      detached: 'no',
    } as const;
    const result = this.shard.submit(call);
    if (result.isErr()) throw new Error(result.error.detail);
    return id;
  }

  /**
   * Advances the time by some milliseconds, dispatches, and returns the tasks that were started.
   */
  public step(ms = 0): readonly StartedTask[] {
    this.clock.nowMs += ms;
    // The reports renew the leases.
    if (ms > 0)
      this.#speeds.forEach((_, index) => {
        this.report(`w${index}`, []);
      });
    this.shard.tick();
    while (this.shard.dispatch(100));
    const started: StartedTask[] = [];
    for (const effect of this.shard.takeEffects()) {
      if (effect.effect === 'command') this.commands.push(effect.command);
      if (effect.effect !== 'start') continue;
      const { assignment } = effect.start;
      const task = { worker: effect.worker, assignment };
      this.running.set(assignment.taskId, task);
      started.push(task);
      const { id } = assignment.request;
      this.shard.applyStartResponse(id, assignment.index, assignment.taskId);
    }
    return started;
  }

  public reportChange(
    { worker, assignment }: StartedTask,
    state: TaskDelta['state'],
    factor = 1,
  ): void {
    const { processors, memoryMb, accelerators } = assignment.request.size;
    const usage = { processors: processors * factor, memoryMb, accelerators };
    if (state !== 'running') this.running.delete(assignment.taskId);
    this.report(worker, [{ taskId: assignment.taskId, state, usage }]);
  }

  public report(worker: string, changes: readonly TaskDelta[], full = false): void {
    const report: Report = {
      worker,
      bootId: 'boot',
      clockMs: this.clock.nowMs,
      sequence: 1,
      state: 'live',
      dataCentre: 'dc1',
      rack: worker,
      room: this.#totalCapacity,
      speed: this.#speeds[Number(worker.slice(1))] ?? 1,
      epoch: this.#epoch,
      owner: 'model',
      leaseUntil: 0,
      full,
      tasks: [],
      changes: [...changes],
    };
    this.shard.createRenewal(worker);
    this.shard.applyReport(worker, report, this.clock.nowMs);
  }

  public readState(id: string): string {
    return this.shard.read(id)._unsafeUnwrap().state;
  }

  public listEvents(name: string): readonly string[] {
    return this.recorder
      .list(0)
      .filter((event) => event.name === name)
      .map(({ worker }) => worker ?? '');
  }
}
