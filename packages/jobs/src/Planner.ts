import type { Candidate } from './Candidate.js';
import type { Choice } from './Choice.js';
import type { Demand } from './Demand.js';
import { compareDemands } from './compareDemands.js';
import { GangPlacement } from './GangPlacement.js';
import { IndependentPlacement } from './IndependentPlacement.js';
import type { ImageDurations } from './ImageDurations.js';
import type { Job } from './Job.js';
import type { JobBook } from './JobBook.js';
import type { JobTerms } from './JobTerms.js';
import type { Order } from './Order.js';
import type { PermitBook } from './PermitBook.js';
import { Preemption } from './Preemption.js';
import { rooms } from './rooms.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StepRun } from './StepRun.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

const independent = new IndependentPlacement();
const gang = new GangPlacement();

/** Decides which waiting tasks start where. */
export class Planner {
  readonly #book: JobBook;
  readonly #pool: WorkerPool;
  readonly #terms: JobTerms;
  readonly #permits: PermitBook;
  readonly #durations: ImageDurations;
  readonly #isHeld: (job: Job, service: string) => boolean;
  readonly #nextRun: (step: StepRun) => number;

  /**
   * @param book - the jobs
   * @param pool - the workers
   * @param terms - terms of the queues
   * @param permits - placement permits
   * @param durations - durations by image
   * @param isHeld - whether a job's tasks may still run where this leader cannot look
   * @param nextRun - allots run numbers
   */
  public constructor(
    book: JobBook,
    pool: WorkerPool,
    terms: JobTerms,
    permits: PermitBook,
    durations: ImageDurations,
    isHeld: (job: Job, service: string) => boolean,
    nextRun: (step: StepRun) => number,
  ) {
    this.#book = book;
    this.#pool = pool;
    this.#terms = terms;
    this.#permits = permits;
    this.#durations = durations;
    this.#isHeld = isHeld;
    this.#nextRun = nextRun;
  }

  /**
   * Plans one pass.
   *
   * @param now - monotonic time
   * @returns orders; started tasks are already placed
   */
  public plan(now: number): readonly Order[] {
    const orders: Order[] = [];
    const preemption = new Preemption(this.#terms);
    /** Workers that a blocked gang waits for; later demands of the pass leave them alone. */
    const reserved = new Set<Worker>();
    const all = this.#pool.all;
    for (const demand of this.#collect(now)) {
      const workers = all.filter((worker) => this.#suits(demand, worker, now));
      this.#serve(demand, workers, reserved, preemption, now, orders);
    }
    for (const task of preemption.chosen) {
      const { worker } = task;
      if (worker === undefined) continue;
      task.beginStop(now);
      orders.push({ kind: 'stop', task, worker, run: task.run });
    }
    this.#prefetchPermits(all, now, orders);
    return orders;
  }

  #collect(now: number): readonly Demand[] {
    const demands: Demand[] = [];
    for (const job of this.#book.open) {
      const queue = this.#terms.find(job);
      if (queue === undefined || this.#isHeld(job, queue.service)) continue;
      const objectiveMs = this.#terms.objectiveMs(job);
      const isHopeless = now - job.acceptedAt > objectiveMs * schedulingLimits.hopelessFactor;
      for (const step of job.steps) {
        if (step.waitingCount === 0 || step.retryAt > now || !step.isReady) continue;
        const { isLongRunning } = step.description;
        demands.push({
          step,
          queue,
          deadline: job.acceptedAt + objectiveMs,
          isHopeless:
            isHopeless && isLongRunning !== true && job.record.specification.schedule === undefined,
        });
      }
    }
    return demands.sort(compareDemands);
  }

  #suits({ step, queue }: Demand, worker: Worker, now: number): boolean {
    const { requiredLabel } = step.description;
    return (
      worker.entry.service === queue.service &&
      worker.isUsable(now) &&
      (requiredLabel === undefined || worker.entry.labels.includes(requiredLabel))
    );
  }

  #serve(
    demand: Demand,
    workers: readonly Worker[],
    reserved: Set<Worker>,
    preemption: Preemption,
    now: number,
    orders: Order[],
  ): void {
    const { step, queue } = demand;
    const open = workers.filter(
      (worker) =>
        !reserved.has(worker) &&
        (queue.advice === undefined || this.#permits.isAllowed(step.key, worker)),
    );
    this.#startWaiting(demand, open, now, orders);
    if (step.waitingCount === 0) return;
    const feasible = this.#choose(
      step,
      open.map((worker) => ({ worker, permit: undefined })),
    );
    this.#requestPermits(demand, workers, feasible, now, orders);
    // Room that is there stays there while the permits are being renewed.
    if (step.description.isGang === true) for (const { worker } of feasible) reserved.add(worker);
    if (feasible.length > 0) return;
    if (step.description.isGang === true) {
      this.#reserveForGang(demand, open, now, reserved, preemption);
    } else this.#preempt(demand, open, now, preemption);
  }

  #choose(step: StepRun, candidates: readonly Candidate[]): readonly Choice[] {
    const placement = step.description.isGang === true ? gang : independent;
    return placement.choose(step, candidates, this.#countAdmitted(step));
  }

  #startWaiting(demand: Demand, open: readonly Worker[], now: number, orders: Order[]): void {
    const { step, queue } = demand;
    const { size, isGang } = step.description;
    const candidates = open.flatMap((worker): readonly Candidate[] => {
      if (queue.advice === undefined) return [{ worker, permit: undefined }];
      const permit = this.#permits.find(step.key, worker, now);
      return permit === undefined ? [] : [{ worker, permit }];
    });
    if (candidates.length === 0) return;
    const choices = this.#choose(step, candidates);
    if (choices.length === 0) return;
    const run = this.#nextRun(step);
    const shared = step.tasks.find(({ checkpoint }) => checkpoint !== '');
    for (const { task, worker, permit } of choices) {
      if (!step.job.account.admits(size)) break;
      if (isGang === true) task.resumeFrom(shared?.checkpoint ?? '');
      const taskRun = isGang === true ? run : Math.max(run, task.run + 1);
      task.place(worker, taskRun, now);
      orders.push({ kind: 'start', task, worker, run: taskRun, permit });
    }
  }

  /** Counts how many tasks of the step the cap of the account admits. */
  #countAdmitted(step: StepRun): number {
    const { account } = step.job;
    const { size } = step.description;
    let count = 0;
    while (count < step.waitingCount && account.admits(size, count + 1)) count += 1;
    return count;
  }

  /** Asks for verdicts that are unknown, and for expired permits of workers that have the room now. */
  #requestPermits(
    { step, queue }: Demand,
    workers: readonly Worker[],
    feasible: readonly Choice[],
    now: number,
    orders: Order[],
  ): void {
    const { advice } = queue;
    if (advice === undefined || !this.#permits.canAsk(step.key, now)) return;
    const chosen = new Set(feasible.map(({ worker }) => worker));
    const missing = workers.filter((worker) =>
      this.#permits.isKnown(step.key, worker)
        ? chosen.has(worker) && this.#permits.find(step.key, worker, now) === undefined
        : true,
    );
    if (missing.length === 0) return;
    const asked = [...missing]
      .sort((a, b) => b.free.milliProcessors - a.free.milliProcessors)
      .slice(0, schedulingLimits.workersPerAdvice);
    this.#permits.noteAsked(step.key);
    orders.push({
      kind: 'advise',
      stepKey: step.key,
      queue: queue.name,
      workers: asked,
      expectedMs: advice.baseMs + advice.perWorkerMs * asked.length,
      priority: queue.priority,
    });
  }

  /** Asks for the permits of steps whose predecessors are about to end. */
  #prefetchPermits(all: readonly Worker[], now: number, orders: Order[]): void {
    for (const job of this.#book.open) {
      const queue = this.#terms.find(job);
      if (queue?.advice === undefined || this.#isHeld(job, queue.service)) continue;
      for (const step of job.steps) {
        if (step.description.dependsOn.length === 0 || step.isDone || step.isReady) continue;
        if (!this.#isDueSoon(step, queue.advice.baseMs, now)) continue;
        const demand = { step, queue, deadline: 0, isHopeless: false };
        const workers = all.filter((worker) => this.#suits(demand, worker, now));
        this.#requestPermits(demand, workers, [], now, orders);
      }
    }
  }

  #isDueSoon(step: StepRun, leadMs: number, now: number): boolean {
    return step.description.dependsOn.every((number) => {
      const before = step.job.findStep(step.occurrence, number);
      if (before === undefined) return false;
      const { image, estimateMs } = before.description;
      const expectedMs = this.#durations.estimate(image, estimateMs);
      return before.tasks.every(
        (task) =>
          task.phase === 'done' ||
          (task.phase === 'running' &&
            now - task.since >= expectedMs - leadMs - schedulingLimits.adviceLeadMs),
      );
    });
  }

  /** Keeps the workers free that a blocked gang will use, and stops less urgent work on them. */
  #reserveForGang(
    demand: Demand,
    open: readonly Worker[],
    now: number,
    reserved: Set<Worker>,
    preemption: Preemption,
  ): void {
    const { step } = demand;
    const { size } = step.description;
    const count = step.tasks.length;
    if (step.waitingCount < count || !step.job.account.admits(size, count)) return;
    const ranked = [...open].sort((a, b) => rooms.weigh(b.free) - rooms.weigh(a.free));
    const wanted: Worker[] = [];
    let places = 0;
    for (const worker of ranked) {
      const fitting = rooms.count(size, worker.entry.capacity);
      if (fitting === 0 || places >= count) continue;
      wanted.push(worker);
      places += fitting;
    }
    if (places < count) return;
    for (const worker of wanted) reserved.add(worker);
    if (!demand.isHopeless && !step.job.isExcess) preemption.makeRoomForAll(demand, wanted, now);
  }

  #preempt(demand: Demand, open: readonly Worker[], now: number, preemption: Preemption): void {
    const { step } = demand;
    if (demand.isHopeless || step.job.isExcess || step.description.isOpportunistic === true) return;
    let wanted = this.#countAdmitted(step);
    while (wanted > 0 && preemption.chosen.size < schedulingLimits.maxPreemptionsPerPass) {
      if (!preemption.makeRoom(demand, open, now)) return;
      wanted -= 1;
    }
  }
}
