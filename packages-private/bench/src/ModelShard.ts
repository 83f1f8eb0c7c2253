import { Shard, type Clock, type Policy, type RandomSource } from '@toucanline/core';
import { EventRecorder, EventStream, Invariant } from '@toucanline/core';
import type { Assignment, Report, ShardLoad, TaskDelta } from '@toucanline/schema';
import type { TaskBehaviour } from './TaskBehaviour.js';

/** A task running on a simulated worker. */
interface ModelTask {
  readonly assignment: Assignment;
  readonly endsAt: number;
}

const tickMs = 250;
const renewalMs = 2500;

/**
 * Shard of the decision core with simulated workers, which run each task for its run time on a simulated
 * clock.
 */
export class ModelShard {
  readonly #shard: Shard;
  readonly #clock: Clock;
  readonly #workers: ReadonlyMap<string, Report>;
  readonly #behaviour: TaskBehaviour;
  readonly #tasks = new Map<string, Map<string, ModelTask>>();
  readonly #sequences = new Map<string, number>();
  #nextTickAt = 0;
  #nextRenewalAt = 0;

  /**
   * @param name - name of the shard
   * @param policy - configuration of queues, teams and shards
   * @param clock - the simulated clock
   * @param random - source of the core's random choices
   * @param workers - initial report of each worker
   * @param behaviour - run times of tasks, and callbacks for their start and end
   */
  public constructor(
    name: string,
    policy: Policy,
    clock: Clock,
    random: RandomSource,
    workers: readonly Report[],
    behaviour: TaskBehaviour,
  ) {
    this.#clock = clock;
    this.#behaviour = behaviour;
    this.#workers = new Map(workers.map((report) => [report.worker, report]));
    const recorder = new EventRecorder(clock, new EventStream(), name, name);
    const invariant = new Invariant(recorder, true);
    const identity = {
      shard: name,
      dataCentre: name,
      epoch: 1,
      owner: 'bench',
      provisional: false,
    };
    this.#shard = new Shard({ ...identity, clock, random, recorder, invariant }, '', policy);
    const ids = [...this.#workers.keys()];
    for (const id of ids) this.#tasks.set(id, new Map());
    this.#shard.applyHosts(
      ids.map((id) => ({ id, role: 'worker', state: 'live', dataCentre: name, address: id })),
    );
  }

  /** Decision core of the shard. */
  public get shard(): Shard {
    return this.#shard;
  }

  /**
   * Runs the shard and its workers up to the current time of the clock.
   *
   * @param loads - loads of the other shards, if they are exchanged in this step
   */
  public step(loads?: readonly ShardLoad[]): void {
    const now = this.#clock.now();
    if (loads !== undefined) this.#shard.applyLoads(loads);
    const isRenewal = now >= this.#nextRenewalAt;
    if (isRenewal) this.#nextRenewalAt = now + renewalMs;
    for (const worker of this.#tasks.keys()) this.#completeTasks(worker, isRenewal);
    if (now >= this.#nextTickAt) {
      this.#nextTickAt = now + tickMs;
      this.#shard.tick();
    }
    while (this.#shard.dispatch(100));
    this.#applyEffects();
  }

  #completeTasks(worker: string, isRenewal: boolean): void {
    const now = this.#clock.now();
    const changes: TaskDelta[] = [];
    for (const [taskId, { assignment, endsAt }] of this.#tasks.get(worker) ?? []) {
      if (endsAt > now) continue;
      changes.push({ taskId, state: 'succeeded', usage: assignment.request.size, output: '' });
      this.#tasks.get(worker)?.delete(taskId);
      this.#behaviour.onEnd(assignment, 'succeeded', this.#getSpeed(worker));
    }
    if (isRenewal || changes.length > 0) this.#sendReport(worker, changes);
  }

  #getSpeed(worker: string): number {
    return this.#workers.get(worker)?.speed ?? 1;
  }

  #sendReport(worker: string, changes: readonly TaskDelta[]): void {
    const now = this.#clock.now();
    const next = this.#shard.createRenewal(worker);
    const sequence = (this.#sequences.get(worker) ?? 0) + 1;
    this.#sequences.set(worker, sequence);
    const initial = this.#workers.get(worker);
    if (initial === undefined) return;
    const report: Report = {
      ...initial,
      clockMs: now,
      sequence,
      dataCentre: this.#shard.name,
      leaseUntil: next?.renewal.leaseUntil ?? 0,
      full: next?.renewal.full ?? false,
      changes,
    };
    this.#shard.applyReport(worker, report, now);
    // A worker without a lease is polled again immediately, as the real scheduler does.
    if (next?.renewal.leaseUntil === 0) this.#sendReport(worker, []);
  }

  #applyEffects(): void {
    for (const effect of this.#shard.takeEffects()) {
      if (effect.effect === 'start') {
        const { assignment } = effect.start;
        const speed = this.#getSpeed(effect.worker);
        const endsAt = this.#clock.now() + this.#behaviour.getRunTimeMs(assignment) / speed;
        this.#behaviour.onStart?.(assignment, speed);
        this.#tasks.get(effect.worker)?.set(assignment.taskId, { assignment, endsAt });
        this.#shard.applyStartResponse(assignment.request.id, assignment.index, assignment.taskId);
      } else if (effect.effect === 'command') {
        const { taskId, action } = effect.command;
        const task = this.#tasks.get(effect.worker)?.get(taskId);
        if (task === undefined || action === 'throttle') continue;
        this.#tasks.get(effect.worker)?.delete(taskId);
        this.#behaviour.onEnd(task.assignment, 'stopped', this.#getSpeed(effect.worker));
        const usage = task.assignment.request.size;
        this.#sendReport(effect.worker, [{ taskId, state: 'stopped', usage }]);
      }
    }
  }
}
