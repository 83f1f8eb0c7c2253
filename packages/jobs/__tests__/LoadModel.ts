import type {
  JobRecord,
  PlacementPermit,
  SiteConfiguration,
  WorkerEntry,
} from '@toucanline/schema';
import { expect } from 'chai';
import { findViolations, Scheduler, type Order } from '../src/index.js';
import { ModelWorker } from './ModelWorker.js';
import { Witness } from './Witness.js';

/** Step of the simulated time. */
const tickMs = 5;

/** Validity of permits, as on the users' sites. */
const permitValidMs = 2000;

/** A sound fleet under a load: no call is lost, and each task takes the time that the test says. */
export class LoadModel {
  public readonly scheduler: Scheduler;
  public readonly witness = new Witness();
  readonly #models = new Map<string, ModelWorker>();
  readonly #factorOf: (worker: string) => number;
  readonly #allows: (worker: string) => boolean;
  readonly #workMs = new Map<string, (task: string) => number>();
  readonly #finishedAt = new Map<string, number>();
  readonly #startsOf = new Map<string, number>();
  #arrivals: readonly { readonly at: number; readonly record: JobRecord }[] = [];
  #answers: readonly {
    readonly at: number;
    readonly order: Extract<Order, { kind: 'advise' }>;
    readonly permits: readonly PlacementPermit[];
  }[] = [];
  #revision = 10;
  #now = 0;

  public constructor(
    site: SiteConfiguration,
    workers: readonly WorkerEntry[],
    factorOf: (worker: string) => number,
    allows: (worker: string) => boolean = () => true,
  ) {
    this.#allows = allows;
    this.scheduler = new Scheduler(1, this.#revision, 0, 200);
    this.scheduler.configure(site);
    this.#factorOf = factorOf;
    for (const entry of workers) {
      const model = new ModelWorker(entry, this.witness);
      this.#models.set(entry.id, model);
      this.witness.alive.add(model);
      this.scheduler.updateWorker(entry, false);
    }
    this.#collect();
  }

  /** Hands a job in at a time; `workMs` tells how long a task takes on a mean worker. */
  public submit(at: number, record: JobRecord, workMs: (task: string) => number): void {
    this.#workMs.set(record.id, workMs);
    this.#arrivals = [...this.#arrivals, { at, record }].sort((a, b) => a.at - b.at);
  }

  /** Time from a job's arrival until it was shown as completed; infinite if it was not. */
  public finishedAt(id: string): number {
    return this.#finishedAt.get(id) ?? Infinity;
  }

  /** Number of tasks that were started on a worker. */
  public countStarts(worker: string): number {
    return this.#startsOf.get(worker) ?? 0;
  }

  /** Lets the tasks of a worker stand still from now on. */
  public hang(id: string): void {
    const model = this.#models.get(id);
    if (model !== undefined) model.isHanging = true;
  }

  public run(untilMs: number): void {
    while (this.#now < untilMs) {
      this.#now += tickMs;
      this.#admit();
      this.#collect();
      this.#advise();
      const orders = this.scheduler.plan(this.#now, this.#now);
      expect(findViolations(orders)).to.deep.equal([]);
      for (const order of orders) this.#carryOut(order);
      this.#write();
    }
  }

  #admit(): void {
    const due = this.#arrivals.filter(({ at }) => at <= this.#now);
    this.#arrivals = this.#arrivals.filter(({ at }) => at > this.#now);
    for (const { record } of due) {
      this.#revision += 1;
      this.witness.addJob(record);
      this.scheduler.addJob(record, this.#revision, this.#now);
    }
  }

  #advise(): void {
    for (const { order, permits } of this.#answers.filter(({ at }) => at <= this.#now)) {
      this.scheduler.takePermits(order, permits, this.#now, permitValidMs);
    }
    this.#answers = this.#answers.filter(({ at }) => at > this.#now);
  }

  #collect(): void {
    for (const worker of this.scheduler.workers) {
      const model = this.#models.get(worker.id);
      const lease = worker.isSurveyed ? worker.extendLease(this.#now) : undefined;
      const report = model?.report(1, worker.acknowledgedThrough, lease, this.#now);
      if (report === undefined || report === 'fenced') continue;
      this.scheduler.takeReport(worker, report, this.#now, this.#now, this.#now);
    }
  }

  #carryOut(order: Order): void {
    if (order.kind === 'advise') {
      const { workers } = order;
      const permits = workers.flatMap(({ id }) =>
        this.#allows(id) ? [{ workerId: id, permit: 'p' }] : [],
      );
      this.#answers = [...this.#answers, { at: this.#now + order.expectedMs, order, permits }];
      return;
    }
    const { task, worker, run } = order;
    const model = this.#models.get(worker.id);
    if (model === undefined) return;
    if (order.kind === 'stop') {
      model.stop(task.name, run, 1, this.#now);
      this.scheduler.takeStop(task, run, true, this.#now);
      return;
    }
    this.#startsOf.set(worker.id, this.countStarts(worker.id) + 1);
    const workMs = this.#workMs.get(task.step.job.id)?.(task.name) ?? 0;
    const durationMs = workMs * this.#factorOf(worker.id);
    const lease = worker.extendLease(this.#now);
    const start = { task: task.name, run, term: 1 };
    const outcome = model.start(start, lease, this.#now, durationMs, 'done');
    this.scheduler.takeStart(order, outcome, this.#now);
  }

  #write(): void {
    const batch = this.scheduler.progress.take();
    this.scheduler.progress.confirm(batch);
    for (const { id, state } of batch.progress) {
      if (state === 'completed' && !this.#finishedAt.has(id)) this.#finishedAt.set(id, this.#now);
    }
  }
}
