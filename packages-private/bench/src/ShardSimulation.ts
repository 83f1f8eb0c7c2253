import { EventRecorder, EventStream, Invariant, Policy, Shard } from '@toucanline/core';
import type { Assignment, Report, Request } from '@toucanline/schema';
import type { SeededRandom } from './SeededRandom.js';
import type { VirtualClock } from './VirtualClock.js';

/** A task running on a simulated worker. */
interface RunningTask {
  readonly worker: string;
  readonly assignment: Assignment;
}

/** Far beyond the end of every simulation, so that no request expires. */
const deadlineMs = 1e12;

/** Decision core of one shard with simulated workers; performs no input or output. */
export class ShardSimulation {
  readonly #shard: Shard;
  readonly #clock: VirtualClock;
  readonly #workers: ReadonlyMap<string, Report>;

  /**
   * @param workers - initial report of each worker
   * @param teams - number of teams
   * @param clock - clock of the simulation
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
    // The core grants a lease only from the second report on, when the clock of the worker is known.
    for (const report of [...workers, ...workers]) {
      this.#shard.createRenewal(report.worker);
      this.#shard.applyReport(report.worker, report, clock.now());
    }
    this.#shard.applyLoads([]);
    this.#shard.takeEffects();
  }

  /** Decision core under measurement. */
  public get shard(): Shard {
    return this.#shard;
  }

  /**
   * Submits a request.
   *
   * @param request - the request
   * @throws Error if the core refuses it
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
   * Removes the pending effects of earlier decisions.
   *
   * @returns the tasks that they start
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
   * Reports to the core that a task succeeded.
   *
   * @param task - the task
   * @throws Error if its worker is not part of the simulation
   */
  public completeTask({ worker, assignment }: RunningTask): void {
    const initial = this.#workers.get(worker);
    if (initial === undefined) throw new Error(`unknown worker ${worker}`);
    const usage = assignment.request.size;
    const change = { taskId: assignment.taskId, state: 'succeeded', usage } as const;
    const now = this.#clock.now();
    const report = { ...initial, clockMs: now, full: false, changes: [change] };
    this.#shard.applyReport(worker, report, now);
  }
}
