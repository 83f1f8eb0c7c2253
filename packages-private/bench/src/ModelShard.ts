import { Shard, type Clock, type Policy, type RandomSource } from '@toucanline/core';
import { EventRecorder, EventStream, Invariant } from '@toucanline/core';
import type { Assignment, Report, Resources, ShardLoad, TaskDelta } from '@toucanline/schema';

/** A running task of a model worker. */
interface ModelTask {
  readonly assignment: Assignment;
  readonly endsAt: number;
}

const tickMs = 250;
const renewalMs = 2500;

/** One shard with model workers that run each task for its declared time, on a simulated clock. */
export class ModelShard {
  readonly #shard: Shard;
  readonly #clock: Clock;
  readonly #room: Resources;
  readonly #tasks = new Map<string, Map<string, ModelTask>>();
  readonly #sequences = new Map<string, number>();
  readonly #onSuccess: (assignment: Assignment) => void;
  #nextTickAt = 0;
  #nextRenewalAt = 0;

  /**
   * @param name - name of the shard
   * @param policy - policy in effect
   * @param clock - the simulated clock
   * @param random - source of random values
   * @param workers - number of workers
   * @param room - capacity of each worker
   * @param onSuccess - called when a task succeeds
   */
  public constructor(
    name: string,
    policy: Policy,
    clock: Clock,
    random: RandomSource,
    workers: number,
    room: Resources,
    onSuccess: (assignment: Assignment) => void,
  ) {
    this.#clock = clock;
    this.#room = room;
    this.#onSuccess = onSuccess;
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
    const ids = Array.from({ length: workers }, (_, index) => `${name}-w${index}`);
    for (const id of ids) this.#tasks.set(id, new Map());
    this.#shard.applyHosts(
      ids.map((id) => ({ id, role: 'worker', state: 'live', dataCentre: name, address: id })),
    );
  }

  /** The decisions. */
  public get shard(): Shard {
    return this.#shard;
  }

  /**
   * Lets the shard live through one step of the clock.
   *
   * @param loads - loads of the other shards, if they tell them now
   */
  public step(loads?: readonly ShardLoad[]): void {
    const now = this.#clock.now();
    if (loads !== undefined) this.#shard.applyLoads(loads);
    const isRenewal = now >= this.#nextRenewalAt;
    if (isRenewal) this.#nextRenewalAt = now + renewalMs;
    for (const worker of this.#tasks.keys()) this.#runWorker(worker, isRenewal);
    if (now >= this.#nextTickAt) {
      this.#nextTickAt = now + tickMs;
      this.#shard.tick();
    }
    while (this.#shard.dispatch(100));
    this.#execute();
  }

  #runWorker(worker: string, isRenewal: boolean): void {
    const now = this.#clock.now();
    const changes: TaskDelta[] = [];
    for (const [taskId, { assignment, endsAt }] of this.#tasks.get(worker) ?? []) {
      if (endsAt > now) continue;
      changes.push({ taskId, state: 'succeeded', usage: assignment.request.size, output: '' });
      this.#tasks.get(worker)?.delete(taskId);
      this.#onSuccess(assignment);
    }
    if (isRenewal || changes.length > 0) this.#report(worker, changes);
  }

  #report(worker: string, changes: readonly TaskDelta[]): void {
    const now = this.#clock.now();
    const next = this.#shard.createRenewal(worker);
    const sequence = (this.#sequences.get(worker) ?? 0) + 1;
    this.#sequences.set(worker, sequence);
    const report: Report = {
      worker,
      bootId: 'boot',
      clockMs: now,
      sequence,
      state: 'live',
      dataCentre: this.#shard.name,
      rack: 'rack',
      room: this.#room,
      speed: 1,
      epoch: 1,
      owner: 'bench',
      leaseUntil: next?.renewal.leaseUntil ?? 0,
      full: next?.renewal.full ?? false,
      tasks: [],
      changes,
    };
    this.#shard.applyReport(worker, report, now);
  }

  #execute(): void {
    for (const effect of this.#shard.takeEffects()) {
      if (effect.effect === 'start') {
        const { assignment } = effect.start;
        const endsAt = this.#clock.now() + assignment.request.runTimeMs;
        this.#tasks.get(effect.worker)?.set(assignment.taskId, { assignment, endsAt });
        this.#shard.applyStartResponse(assignment.request.id, assignment.index, assignment.taskId);
      } else if (effect.effect === 'command') {
        const { taskId, action } = effect.command;
        const task = this.#tasks.get(effect.worker)?.get(taskId);
        if (task === undefined || action === 'throttle') continue;
        this.#tasks.get(effect.worker)?.delete(taskId);
        const usage = task.assignment.request.size;
        this.#report(effect.worker, [{ taskId, state: 'stopped', usage }]);
      }
    }
  }
}
