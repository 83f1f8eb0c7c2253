import type { Candidate } from './Candidate.js';
import type { Choice } from './Choice.js';
import type { Demand } from './Demand.js';
import { DemandList } from './DemandList.js';
import { GangPlacement } from './GangPlacement.js';
import { IndependentPlacement } from './IndependentPlacement.js';
import type { ImageDurations } from './ImageDurations.js';
import type { Job } from './Job.js';
import type { JobBook } from './JobBook.js';
import type { JobTerms } from './JobTerms.js';
import type { Order } from './Order.js';
import type { PermitBook } from './PermitBook.js';
import { PermitRequests } from './PermitRequests.js';
import { PlanningPass } from './PlanningPass.js';
import { rooms } from './rooms.js';
import type { StepRun } from './StepRun.js';
import { waitForRoom } from './waitForRoom.js';
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
  readonly #demands: DemandList;
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
    this.#demands = new DemandList(book, terms, durations, isHeld);
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
    const pass = new PlanningPass(now, this.#terms);
    const all = this.#pool.all;
    const ready = this.#demands.collect(now).map((demand): ReadyDemand => {
      const workers = all.filter((worker) => this.#suits(demand, worker, now));
      const allowed = this.#allow(demand, workers);
      pass.contention.add(demand, allowed);
      return { demand, workers, allowed };
    });
    for (const each of ready) this.#serve(each, pass);
    for (const task of pass.preemption.chosen) {
      const { worker } = task;
      if (worker === undefined) continue;
      task.beginStop(now, 'preempted');
      pass.give({ kind: 'stop', task, worker, run: task.run });
    }
    this.#prefetch(all, pass);
    return pass.orders;
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

  #serve({ demand, workers, allowed }: ReadyDemand, pass: PlanningPass): void {
    const { step, queue } = demand;
    this.#startWaiting(demand, allowed, pass);
    if (step.waitingCount === 0) return;
    // Room that is there is kept while permits are being renewed.
    const feasible =
      queue.advice === undefined ? [] : this.#choose(demand, allowed.map(withoutPermit), pass);
    const kept = new Set(feasible.map(({ worker }) => worker));
    for (const { worker } of feasible) pass.reservations.add(worker, step.description.size);
    const missing = Math.min(step.waitingCount, this.#countAdmitted(step)) - feasible.length;
    for (const worker of waitForRoom(demand, allowed, missing, pass)) kept.add(worker);
    this.#requests.ask(demand, workers, kept, pass);
  }

  #choose(
    { step, dueAt }: Demand,
    candidates: readonly Candidate[],
    { now, contention, reservations }: PlanningPass,
  ): readonly Choice[] {
    const { isGang, size } = step.description;
    const roomy = candidates.filter(({ worker }) => rooms.fits(size, reservations.freeOn(worker)));
    if (roomy.length === 0) return [];
    const placement = isGang === true ? gang : independent;
    const request = {
      step,
      limit: this.#countAdmitted(step),
      expectedMs: this.#demands.expectMs(step),
      leftMs: dueAt - now,
      contention,
    };
    return placement.choose(request, roomy, reservations);
  }

  #startWaiting(demand: Demand, allowed: readonly Worker[], pass: PlanningPass): void {
    const { step, queue } = demand;
    const { size, isGang } = step.description;
    const { now, reservations } = pass;
    const candidates = allowed.flatMap((worker): readonly Candidate[] => {
      if (!worker.isSettled(now) || !rooms.fits(size, reservations.freeOn(worker))) return [];
      if (queue.advice === undefined) return [withoutPermit(worker)];
      const permit = this.#permits.find(step.key, worker, now);
      return permit === undefined ? [] : [{ worker, permit }];
    });
    const choices = this.#choose(demand, candidates, pass);
    if (choices.length === 0) return;
    // The members of a gang share the number of their run.
    const gangRun = Math.max(this.#firstRun, ...step.tasks.map((task) => task.run + 1));
    const shared = step.tasks.find(({ checkpoint }) => checkpoint !== '');
    for (const { task, worker, permit } of choices) {
      if (!step.job.account.admits(size)) break;
      if (isGang === true) task.resumeFrom(shared?.checkpoint ?? '');
      const run = isGang === true ? gangRun : Math.max(this.#firstRun, task.run + 1);
      task.place(worker, run, now);
      pass.give({ kind: 'start', task, worker, run, permit });
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
  #prefetch(all: readonly Worker[], pass: PlanningPass): void {
    for (const job of this.#book.open) {
      const queue = this.#terms.find(job);
      if (queue?.advice === undefined || this.#isHeld(job, queue.service)) continue;
      for (const step of job.steps) {
        if (!this.#requests.isDueSoon(step, queue.advice.baseMs, pass.now)) continue;
        const demand = { step, queue, deadline: 0, dueAt: 0, punctuality: 'onTime' } as const;
        const workers = all.filter((worker) => this.#suits(demand, worker, pass.now));
        this.#requests.ask(demand, workers, new Set(), pass);
      }
    }
  }
}

const withoutPermit = (worker: Worker): Candidate => ({ worker, permit: undefined });
