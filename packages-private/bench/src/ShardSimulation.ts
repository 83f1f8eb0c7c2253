import { EventRecorder, EventStream, Invariant, Policy, Shard } from '@toucanline/core';
import type { Assignment, Report, Request } from '@toucanline/schema';
import type { SeededRandom } from './SeededRandom.js';
import type { VirtualClock } from './VirtualClock.js';

/** One task that the simulated workers run. */
interface RunningTask {
  readonly worker: string;
  readonly assignment: Assignment;
}

const deadlineMs = 1e12;

/** The core of one shard with simulated workers, without any input or output. */
export class ShardSimulation {
  readonly #shard: Shard;
  readonly #clock: VirtualClock;
  readonly #workers: ReadonlyMap<string, Report>;

  /**
   * @param workers - first report of each worker
   * @param teams - number of teams
   * @param clock - time of the simulation
   * @param random - source of the core's random choices
   */
  public constructor(
    workers: readonly Report[],
    teams: number,
    clock: VirtualClock,
    random: SeededRandom,
  ) {
    const recorder = new EventRecorder(clock, new EventStream(), 'bench', 'dc1');
    const names = Array.from({ length: teams }, (_, index) => `t${index}`);
    const policy = new Policy({
      schema: 1,
      shards: { s1: { dataCentre: 'dc1' } },
      queues: {
        batch: { kind: 'batch', maxWaiting: 1_000_000 },
        service: { kind: 'service', maxWaiting: 1_000_000 },
        gang: { kind: 'gang', maxWaiting: 1_000_000 },
      },
      teams: Object.fromEntries(names.map((name) => [name, { share: 1 }])),
    });
    this.#clock = clock;
    this.#shard = new Shard(
      {
        shard: 's1',
        dataCentre: 'dc1',
        epoch: 1,
        owner: 'bench',
        provisional: false,
        clock,
        random,
        recorder,
        invariant: new Invariant(recorder, true),
      },
      'bench',
      policy,
    );
    this.#workers = new Map(workers.map((report) => [report.worker, report]));
    this.#shard.loadJournal([]);
    this.#shard.applyHosts(
      workers.map(({ worker, dataCentre, rack }) => ({
        id: worker,
        role: 'worker',
        state: 'live',
        dataCentre,
        rack,
        address: worker,
      })),
    );
    // Leases are granted from the second report on, once the clock of the worker is known.
    for (const report of [...workers, ...workers]) {
      this.#shard.createRenewal(report.worker);
      this.#shard.applyReport(report.worker, report, clock.now());
    }
    this.#shard.applyLoads([]);
    this.#shard.takeEffects();
  }

  /** The core that is measured. */
  public get shard(): Shard {
    return this.#shard;
  }

  /**
   * Hands a request in.
   *
   * @param request - the request
   */
  public submit(request: Request): void {
    const result = this.#shard.submit({
      call: 'submit',
      shard: 's1',
      request,
      remainingMs: deadlineMs,
      detached: 'no',
    });
    if (result.isErr()) throw new Error(`${request.id}: ${result.error.detail}`);
  }

  /**
   * Takes the effects of earlier decisions.
   *
   * @returns the tasks that were started
   */
  public takeStartedTasks(): readonly RunningTask[] {
    const started: RunningTask[] = [];
    for (const effect of this.#shard.takeEffects()) {
      if (effect.effect !== 'start') continue;
      started.push({ worker: effect.worker, assignment: effect.start.assignment });
    }
    return started;
  }

  /**
   * Reports the success of a task.
   *
   * @param task - the task
   */
  public completeTask({ worker, assignment }: RunningTask): void {
    const first = this.#workers.get(worker);
    if (first === undefined) throw new Error(`unknown worker ${worker}`);
    const usage = assignment.request.size;
    const change = { taskId: assignment.taskId, state: 'succeeded', usage } as const;
    const now = this.#clock.now();
    const report = { ...first, clockMs: now, full: false, changes: [change] };
    this.#shard.applyReport(worker, report, now);
  }
}
