import type { Candidate } from './Candidate.js';
import type { Choice } from './Choice.js';
import type { Demand } from './Demand.js';
import { compareDemands } from './compareDemands.js';
import { Contention } from './Contention.js';
import { GangPlacement } from './GangPlacement.js';
import { IndependentPlacement } from './IndependentPlacement.js';
import type { ImageDurations } from './ImageDurations.js';
import type { Job } from './Job.js';
import type { JobBook } from './JobBook.js';
import type { JobTerms } from './JobTerms.js';
import type { Order } from './Order.js';
import type { PermitBook } from './PermitBook.js';
import { PermitRequests } from './PermitRequests.js';
import { Preemption } from './Preemption.js';
import { Reservations } from './Reservations.js';
import { rooms } from './rooms.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StepRun } from './StepRun.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

const independent = new IndependentPlacement();
const gang = new GangPlacement();

/** A step with waiting tasks, and where it may run. */
interface ReadyDemand {
  readonly demand: Demand;
  /** Workers that suit it, as far as service, labels and health go. */
  readonly workers: readonly Worker[];
  /** Those among them that the policy is known to allow. */
  readonly allowed: readonly Worker[];
}

/** Decides which waiting tasks start where. */
export class Planner {
  readonly #book: JobBook;
  readonly #pool: WorkerPool;
  readonly #terms: JobTerms;
  readonly #permits: PermitBook;
  readonly #durations: ImageDurations;
  readonly #requests: PermitRequests;
  readonly #isHeld: (job: Job, service: string) => boolean;
  readonly #firstRun: number;

  /**
   * @param book - the jobs
   * @param pool - the workers
   * @param terms - terms of the queues
   * @param permits - placement permits
   * @param durations - durations by image
   * @param isHeld - whether a job's tasks may still run where this leader cannot look
   * @param firstRun - lowest run number of the leader's term
   */
  public constructor(
    book: JobBook,
    pool: WorkerPool,
    terms: JobTerms,
    permits: PermitBook,
    durations: ImageDurations,
    isHeld: (job: Job, service: string) => boolean,
    firstRun: number,
  ) {
    this.#book = book;
    this.#pool = pool;
    this.#terms = terms;
    this.#permits = permits;
    this.#durations = durations;
    this.#requests = new PermitRequests(permits, durations);
    this.#isHeld = isHeld;
    this.#firstRun = firstRun;
  }

  /**
   * Plans one pass.
   *
   * @param now - monotonic time
   * @returns orders; started tasks are already placed
   */
  public plan(now: number): readonly Order[] {
    const orders: Order[] = [];
    const reservations = new Reservations();
    const preemption = new Preemption(this.#terms, reservations);
    const all = this.#pool.all;
    const contention = new Contention();
    const ready = this.#collect(now).map((demand): ReadyDemand => {
      const workers = all.filter((worker) => this.#suits(demand, worker, now));
      const allowed = this.#allow(demand, workers);
      contention.add(demand, allowed);
      return { demand, workers, allowed };
    });
    for (const each of ready) {
      this.#serve(each, contention, reservations, preemption, now, orders);
    }
    for (const task of preemption.chosen) {
      const { worker } = task;
      if (worker === undefined) continue;
      task.beginStop(now, 'preempted');
      orders.push({ kind: 'stop', task, worker, run: task.run });
    }
    this.#prefetch(all, now, orders);
    return orders;
  }

  #collect(now: number): readonly Demand[] {
    const demands: Demand[] = [];
    for (const job of this.#book.open) {
      const queue = this.#terms.find(job);
      if (queue === undefined || this.#isHeld(job, queue.service)) continue;
      const objectiveMs = this.#terms.objectiveMs(job);
      for (const step of job.steps) {
        if (step.waitingCount === 0 || step.retryAt > now || !step.isReady) continue;
        demands.push({
          step,
          queue,
          deadline: job.acceptedAt + objectiveMs,
          dueAt: this.#findDue(step, objectiveMs),
          punctuality: this.#rateStep(step, objectiveMs, now),
        });
      }
    }
    return demands.sort(compareDemands);
  }

  #findDue(step: StepRun, objectiveMs: number): number {
    const { job, number, description } = step;
    if (description.isLongRunning === true) return Infinity;
    // The time of an occurrence counts from its due time: such work takes the fast workers.
    if (job.record.specification.schedule !== undefined) return -Infinity;
    return job.acceptedAt + objectiveMs - this.#terms.tailMs(job, number);
  }

  /** Lasting and scheduled work is never late by the age of its job. */
  #rateStep(step: StepRun, objectiveMs: number, now: number): Demand['punctuality'] {
    const { job, description } = step;
    if (description.isLongRunning === true) return 'onTime';
    if (job.record.specification.schedule !== undefined) return 'onTime';
    const ageMs = now - job.acceptedAt;
    if (ageMs > objectiveMs * schedulingLimits.hopelessFactor) return 'hopeless';
    const leftMs = this.#expectMs(step);
    return ageMs + leftMs * schedulingLimits.trustedEstimateShare > objectiveMs ? 'late' : 'onTime';
  }

  #suits({ step, queue }: Demand, worker: Worker, now: number): boolean {
    const { requiredLabel } = step.description;
    return (
      worker.entry.service === queue.service &&
      worker.isUsable(now) &&
      (requiredLabel === undefined || worker.entry.labels.includes(requiredLabel))
    );
  }

  #allow({ step, queue }: Demand, workers: readonly Worker[]): readonly Worker[] {
    if (queue.advice === undefined) return workers;
    return workers.filter((worker) => this.#permits.isAllowed(step.key, worker));
  }

  #serve(
    { demand, workers, allowed }: ReadyDemand,
    contention: Contention,
    reservations: Reservations,
    preemption: Preemption,
    now: number,
    orders: Order[],
  ): void {
    const { step, queue } = demand;
    this.#startWaiting(demand, allowed, contention, reservations, now, orders);
    if (step.waitingCount === 0) return;
    // Room that is there is kept while permits are being renewed.
    const feasible =
      queue.advice === undefined
        ? []
        : this.#choose(demand, allowed.map(withoutPermit), contention, reservations, now);
    const kept = new Set(feasible.map(({ worker }) => worker));
    for (const { worker } of feasible) reservations.add(worker, step.description.size);
    if (feasible.length < step.waitingCount) {
      const missing = Math.min(
        step.waitingCount - feasible.length,
        this.#countAdmitted(step) - feasible.length,
      );
      for (const worker of this.#waitForRoom(
        demand,
        allowed,
        missing,
        reservations,
        preemption,
        now,
      )) {
        kept.add(worker);
      }
    }
    this.#requests.ask(demand, workers, kept, now, orders);
  }

  #choose(
    { step, dueAt }: Demand,
    candidates: readonly Candidate[],
    contention: Contention,
    reservations: Reservations,
    now: number,
  ): readonly Choice[] {
    const { isGang, size } = step.description;
    const roomy = candidates.filter(({ worker }) => rooms.fits(size, reservations.freeOn(worker)));
    if (roomy.length === 0) return [];
    const placement = isGang === true ? gang : independent;
    const request = {
      step,
      limit: this.#countAdmitted(step),
      expectedMs: this.#expectMs(step),
      leftMs: dueAt - now,
      contention,
    };
    return placement.choose(request, roomy, reservations);
  }

  /** Expected duration of a task of the step on a mean worker, in milliseconds. */
  #expectMs({ description, work }: StepRun): number {
    const { image, estimateMs } = description;
    return Math.exp(work.estimate(this.#durations.estimate(image, estimateMs)).logMs);
  }

  #startWaiting(
    demand: Demand,
    open: readonly Worker[],
    contention: Contention,
    reservations: Reservations,
    now: number,
    orders: Order[],
  ): void {
    const { step, queue } = demand;
    const { size, isGang } = step.description;
    const candidates = open.flatMap((worker): readonly Candidate[] => {
      if (!worker.isSettled(now) || !rooms.fits(size, reservations.freeOn(worker))) return [];
      if (queue.advice === undefined) return [{ worker, permit: undefined }];
      const permit = this.#permits.find(step.key, worker, now);
      return permit === undefined ? [] : [{ worker, permit }];
    });
    if (candidates.length === 0) return;
    const choices = this.#choose(demand, candidates, contention, reservations, now);
    if (choices.length === 0) return;
    // The members of a gang share the number of their run.
    const gangRun = Math.max(this.#firstRun, ...step.tasks.map((task) => task.run + 1));
    const shared = step.tasks.find(({ checkpoint }) => checkpoint !== '');
    for (const { task, worker, permit } of choices) {
      if (!step.job.account.admits(size)) break;
      if (isGang === true) task.resumeFrom(shared?.checkpoint ?? '');
      const run = isGang === true ? gangRun : Math.max(this.#firstRun, task.run + 1);
      task.place(worker, run, now);
      orders.push({ kind: 'start', task, worker, run, permit });
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

  /** Asks for the permits of steps whose predecessors are about to end. */
  #prefetch(all: readonly Worker[], now: number, orders: Order[]): void {
    for (const job of this.#book.open) {
      const queue = this.#terms.find(job);
      if (queue?.advice === undefined || this.#isHeld(job, queue.service)) continue;
      for (const step of job.steps) {
        if (!this.#requests.isDueSoon(step, queue.advice.baseMs, now)) continue;
        const demand = { step, queue, deadline: 0, dueAt: 0, punctuality: 'onTime' } as const;
        const workers = all.filter((worker) => this.#suits(demand, worker, now));
        this.#requests.ask(demand, workers, new Set(), now, orders);
      }
    }
  }

  /**
   * Makes room for tasks that fit nowhere: stops less urgent work, or reserves room where a large task will fit
   * first, so that small tasks do not take it piece by piece.
   */
  #waitForRoom(
    demand: Demand,
    allowed: readonly Worker[],
    missing: number,
    reservations: Reservations,
    preemption: Preemption,
    now: number,
  ): readonly Worker[] {
    const { step } = demand;
    const { isGang, isOpportunistic } = step.description;
    if (isOpportunistic === true || demand.punctuality === 'hopeless' || step.job.isExcess)
      return [];
    if (isGang === true && (missing < step.tasks.length || !this.#canEverFit(step, allowed)))
      return [];
    const waited: Worker[] = [];
    for (let count = 0; count < missing; count += 1) {
      const canStop =
        demand.punctuality === 'onTime' &&
        preemption.chosen.size < schedulingLimits.maxPreemptionsPerPass;
      if (canStop && preemption.makeRoom(demand, allowed, now)) continue;
      const worker = this.#findFirstToFit(step, allowed, reservations);
      if (worker === undefined) break;
      reservations.add(worker, step.description.size);
      waited.push(worker);
    }
    return waited;
  }

  /** A gang that is larger than all its workers together must not keep them from others. */
  #canEverFit(step: StepRun, allowed: readonly Worker[]): boolean {
    const { size } = step.description;
    const places = allowed.reduce((sum, { entry }) => sum + rooms.count(size, entry.capacity), 0);
    return places >= step.tasks.length;
  }

  /** Only large tasks wait for a worker: smaller ones find room as soon as anything ends. */
  #findFirstToFit(
    step: StepRun,
    allowed: readonly Worker[],
    reservations: Reservations,
  ): Worker | undefined {
    const { size } = step.description;
    let best: Worker | undefined;
    let bestFree = -Infinity;
    for (const worker of allowed) {
      const { capacity } = worker.entry;
      const share = rooms.weigh(size) / Math.max(1, rooms.weigh(capacity));
      if (share < schedulingLimits.largeTaskShare || !rooms.fits(size, capacity)) continue;
      const free = rooms.weigh(reservations.freeOn(worker));
      // A worker whose whole capacity is spoken for helps nobody sooner.
      if (free <= bestFree || free <= -rooms.weigh(capacity)) continue;
      best = worker;
      bestFree = free;
    }
    return best;
  }
}

const withoutPermit = (worker: Worker): Candidate => ({ worker, permit: undefined });
