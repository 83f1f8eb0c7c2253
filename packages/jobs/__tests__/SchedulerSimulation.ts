import type { JobProgress, JobRecord } from '@toucanline/schema';
import { expect } from 'chai';
import {
  findViolations,
  Scheduler,
  schedulingLimits,
  type Command,
  type Worker,
} from '../src/index.js';
import { fixtures } from './fixtures.js';
import { ModelWorker } from './ModelWorker.js';
import { InvariantChecker } from './InvariantChecker.js';

const { configuration, job, step, worker } = fixtures;

/** Step of the simulated time. */
const tickMs = 10;
/** Timeout of a call without a response. */
const callTimeoutMs = 400;

interface Leader {
  readonly scheduler: Scheduler;
  readonly term: number;
  /** Whether a worker has refused its fencing token. */
  isFenced: boolean;
  /** Simulated time at which it was superseded, in milliseconds; it continues for its grace period. */
  supersededAt: number;
}

/**
 * Simulates leaders, workers and a store on one clock, with lost and late calls, takeovers, partitions and crashes of
 * workers.
 */
export class SchedulerSimulation {
  public readonly checker = new InvariantChecker();
  readonly #random: () => number;
  readonly #workers = new Map<string, ModelWorker>();
  readonly #partitionedUntil = new Map<string, number>();
  readonly #records: { readonly record: JobRecord; readonly revision: number }[] = [];
  readonly #stored = new Map<string, JobProgress>();
  readonly #polledAt = new Map<string, number>();
  /** Suspended incarnations in the store, with the remaining run time in milliseconds when that was written. */
  #suspensions: ReadonlyMap<string, number> = new Map();
  #pending: { readonly at: number; readonly run: () => void }[] = [];
  #leaders: Leader[] = [];
  #revision = 1;
  #term = 0;
  #now = 0;

  public constructor(random: () => number) {
    this.#random = random;
    for (let number = 0; number < 4; number += 1) this.#startWorker(`w${number}`, 1);
    this.#electLeader();
  }

  /** Ids of the jobs that the latest leader does not publish as completed or failed. */
  public get unfinished(): readonly string[] {
    const leader = this.#leaders.at(-1);
    return this.#records
      .map(({ record }) => record.id)
      .filter((id) => {
        const state = leader?.scheduler.findJobState(id);
        return state !== 'completed' && state !== 'failed';
      });
  }

  /** Advances the simulation by a duration, with or without injected faults. */
  public run(durationMs: number, hasFaults: boolean): void {
    const endsAt = this.#now + durationMs;
    while (this.#now < endsAt) {
      this.#now += tickMs;
      if (hasFaults) this.#injectFaults();
      this.#deliverDue();
      for (const model of this.#workers.values()) model.advance(this.#now);
      for (const leader of this.#leaders) this.#runLeader(leader);
    }
  }

  public submit(): void {
    const id = `job${this.#records.length}`;
    const count = 1 + Math.floor(this.#random() * 4);
    const size = 500 + Math.floor(this.#random() * 3) * 1500;
    const record = job(id, [step(count, size), step(2, 1000, { dependsOn: [0] })], {
      queue: this.#random() < 0.3 ? 'urgent' : 'batch',
    });
    this.#revision += 1;
    this.#records.push({ record, revision: this.#revision });
    this.checker.addJob(record);
    this.#leaders.at(-1)?.scheduler.addJob(record, this.#revision, this.#now);
  }

  #injectFaults(): void {
    const { checker } = this;
    if (this.#random() < 0.06) this.submit();
    if (this.#random() < 0.0007) this.#electLeader();
    if (this.#random() < 0.0007) {
      const id = `w${Math.floor(this.#random() * 4)}`;
      this.#partitionedUntil.set(id, this.#now + this.#random() * 8000);
    }
    if (this.#random() < 0.0004) {
      const id = `w${Math.floor(this.#random() * 4)}`;
      const previous = this.#workers.get(id);
      if (previous !== undefined) checker.liveWorkers.delete(previous);
      this.#startWorker(id, (previous?.entry.life ?? 0) + 1);
      this.#announceWorker(id);
    }
  }

  #startWorker(id: string, life: number): void {
    const model = new ModelWorker(worker(id, { life }), this.checker);
    this.#workers.set(id, model);
    this.checker.liveWorkers.add(model);
  }

  #announceWorker(id: string): void {
    const entry = this.#workers.get(id)?.entry;
    if (entry === undefined) return;
    // A previous leader ignores entries that it receives after its last renewal of the leader lease.
    for (const { scheduler, supersededAt } of this.#leaders) {
      if (supersededAt === Infinity) scheduler.updateWorker(entry, false);
    }
  }

  #electLeader(): void {
    this.#term += 1;
    this.#revision += 1;
    const previous = this.#leaders.at(-1);
    if (previous !== undefined) previous.supersededAt = this.#now;
    const scheduler = new Scheduler(this.#term, this.#revision, this.#now, {
      maxStopMs: 200,
      maxLeaseMs: 6000,
    });
    scheduler.configure(configuration());
    for (const progress of this.#stored.values()) scheduler.restoreProgress(progress, this.#now);
    for (const { record, revision } of this.#records) {
      scheduler.addJob(record, revision, this.#now);
    }
    for (const { entry } of this.#workers.values()) {
      const remainingMs = this.#suspensions.get(formatIncarnation(entry));
      const added = scheduler.updateWorker(entry, true, remainingMs);
      if (remainingMs !== undefined) added?.suspend();
    }
    this.#leaders = [
      ...this.#leaders.filter((leader) => leader === previous),
      { scheduler, term: this.#term, isFenced: false, supersededAt: Infinity },
    ];
  }

  #runLeader(leader: Leader): void {
    const { scheduler, supersededAt } = leader;
    const isGraceOver = this.#now > supersededAt + schedulingLimits.leaderGraceMs;
    if (isGraceOver || leader.isFenced) return;
    const isCurrent = supersededAt === Infinity;
    this.#updateSuspensions(scheduler, isCurrent && this.#random() < 0.2);
    const commands = scheduler.plan(this.#now, this.#now, isCurrent);
    expect(findViolations(commands)).to.deep.equal([]);
    for (const command of commands) this.#execute(leader, command);
    for (const each of scheduler.workers) this.#requestReport(leader, each);
    // Only the holder of the leader lease can write.
    if (supersededAt !== Infinity || !scheduler.progress.hasPending) return;
    const batch = scheduler.progress.takeBatch();
    if (this.#random() < 0.05) {
      scheduler.progress.requeueBatch(batch);
      return;
    }
    for (const progress of batch.progress) this.#stored.set(progress.id, progress);
    scheduler.progress.confirmBatch(batch);
  }

  /**
   * Suspends workers that do not respond; only the holder of the leader lease writes that to the store, some time
   * later.
   */
  #updateSuspensions(scheduler: Scheduler, isWritten: boolean): void {
    const { workers } = scheduler;
    const isUnreachable = ({ callFailures }: Worker): boolean => callFailures >= 2;
    for (const each of workers) if (isUnreachable(each)) each.suspend();
    if (!isWritten) return;
    const staying = workers.filter(
      (each) => each.isSuspended && (isUnreachable(each) || !each.isSurveyed),
    );
    this.#suspensions = new Map(
      staying.map((each) => [
        formatIncarnation(each),
        scheduler.computeRemainingMs(each, this.#now),
      ]),
    );
    for (const each of workers) if (!this.#suspensions.has(formatIncarnation(each))) each.resume();
  }

  #execute(leader: Leader, command: Command): void {
    const { scheduler, term } = leader;
    if (command.kind === 'advise') return;
    const { task, run, worker: target } = command;
    if (command.kind === 'stop') {
      this.#call(
        target,
        (model) => model.stop(task.name, run, term, this.#now),
        (response) => {
          if (response === 'fenced') leader.isFenced = true;
          scheduler.handleStopOutcome(command, response === 'confirmed', this.#now);
        },
      );
      return;
    }
    const lease = target.extendLease(this.#now);
    const durationMs = 100 + this.#random() * 1500;
    const outcome = this.#random() < 0.05 ? 'failed' : 'done';
    const start = { task: task.name, run, term };
    this.#call(
      target,
      (model) => model.start(start, lease, this.#now, durationMs, outcome),
      (response) => {
        if (response !== undefined) target.recordContact(this.#now, this.#now);
        if (response === 'fenced') leader.isFenced = true;
        scheduler.handleStartOutcome(command, response ?? 'unknown', this.#now);
      },
    );
  }

  #requestReport(leader: Leader, target: Worker): void {
    const { scheduler, term } = leader;
    const key = `${term}/${target.id}/${target.life}`;
    if (this.#now - (this.#polledAt.get(key) ?? -Infinity) < 100) return;
    this.#polledAt.set(key, this.#now);
    const sentAt = this.#now;
    const mayExtend = target.isSurveyed && !target.isSuspended;
    const lease = mayExtend ? target.extendLease(sentAt) : undefined;
    const { acknowledgement } = target;
    this.#call(
      target,
      (model) => model.report(term, acknowledgement, lease, this.#now),
      (report) => {
        if (report === 'fenced') leader.isFenced = true;
        if (report === undefined || report === 'fenced') {
          target.recordCallFailure(this.#now, sentAt);
          return;
        }
        const strays = scheduler.handleReport(target, report, sentAt, this.#now, this.#now);
        for (const { task, run } of strays) {
          this.#call(target, (model) => model.stop(task, run, term, this.#now), ignore);
        }
      },
    );
  }

  /** Delivers a call, loses its response, or executes it seconds later without a response. */
  #call<Answer>(
    target: Worker,
    act: (model: ModelWorker) => Answer,
    handle: (response: Answer | undefined) => void,
  ): void {
    const findReachable = (): ModelWorker | undefined => {
      const model = this.#workers.get(target.id);
      const isPartitioned = (this.#partitionedUntil.get(target.id) ?? 0) > this.#now;
      return model?.entry.life === target.life && !isPartitioned ? model : undefined;
    };
    const timeOut = (): void => {
      this.#schedule(callTimeoutMs, () => {
        handle(undefined);
      });
    };
    const chance = this.#random();
    const model = findReachable();
    if (model === undefined || chance < 0.02) timeOut();
    else if (chance < 0.05) {
      timeOut();
      this.#schedule(2000 + this.#random() * 10_000, () => {
        const lateModel = findReachable();
        if (lateModel !== undefined) act(lateModel);
      });
    } else if (chance < 0.07) {
      act(model);
      timeOut();
    } else {
      const response = act(model);
      this.#schedule(this.#random() * 30, () => {
        handle(response);
      });
    }
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#pending.push({ at: this.#now + delayMs, run });
  }

  #deliverDue(): void {
    const due = this.#pending.filter(({ at }) => at <= this.#now);
    this.#pending = this.#pending.filter(({ at }) => at > this.#now);
    for (const { run } of due) run();
  }
}

const ignore = (): void => undefined;

const formatIncarnation = ({ id, life }: { readonly id: string; readonly life: number }): string =>
  `${id}/${life}`;
