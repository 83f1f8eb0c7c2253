import type { Candidate } from './Candidate.js';
import type { TaskAssignment } from './TaskAssignment.js';
import type { PendingStep } from './PendingStep.js';
import { PendingSteps } from './PendingSteps.js';
import { GangTaskPlacement } from './GangTaskPlacement.js';
import { IndependentTaskPlacement } from './IndependentTaskPlacement.js';
import type { ImageDurations } from './ImageDurations.js';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import type { QueueSettings } from './QueueSettings.js';
import type { Command } from './Command.js';
import type { PermitCache } from './PermitCache.js';
import { PermitRequests } from './PermitRequests.js';
import { PlanningPass } from './PlanningPass.js';
import { resources } from './resources.js';
import type { StepInstance } from './StepInstance.js';
import { reserveCapacity } from './reserveCapacity.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

const independent = new IndependentTaskPlacement();
const gang = new GangTaskPlacement();

/** A step with waiting tasks, and where it may run. */
interface PlaceableStep {
  readonly pending: PendingStep;
  /** Workers that suit it, as far as service, labels and health go. */
  readonly workers: readonly Worker[];
  /** Those among them that the policy is known to allow. */
  readonly allowed: readonly Worker[];
}

/** Decides which waiting tasks start where. */
export class Planner {
  readonly #jobs: JobRegistry;
  readonly #pool: WorkerPool;
  readonly #queues: QueueSettings;
  readonly #permits: PermitCache;
  readonly #pendingSteps: PendingSteps;
  readonly #permitRequests: PermitRequests;
  readonly #canStillRun: (job: Job, service: string) => boolean;
  readonly #firstRunNumber: number;

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
    book: JobRegistry,
    pool: WorkerPool,
    terms: QueueSettings,
    permits: PermitCache,
    durations: ImageDurations,
    isHeld: (job: Job, service: string) => boolean,
    firstRun: number,
  ) {
    this.#jobs = book;
    this.#pool = pool;
    this.#queues = terms;
    this.#permits = permits;
    this.#pendingSteps = new PendingSteps(book, terms, durations, isHeld);
    this.#permitRequests = new PermitRequests(permits, durations);
    this.#canStillRun = isHeld;
    this.#firstRunNumber = firstRun;
  }

  /**
   * Plans one pass.
   *
   * @param now - monotonic time
   * @returns orders; started tasks are already placed
   */
  public plan(now: number): readonly Command[] {
    const pass = new PlanningPass(now, this.#queues);
    const all = this.#pool.all;
    const ready = this.#pendingSteps.collect(now).map((demand): PlaceableStep => {
      const workers = all.filter((worker) => this.#isEligible(demand, worker, now));
      const allowed = this.#filterAllowed(demand, workers);
      pass.contention.addStep(demand, allowed);
      return { pending: demand, workers, allowed };
    });
    for (const each of ready) this.#planStep(each, pass);
    for (const task of pass.preemption.victims) {
      const { worker } = task;
      if (worker === undefined) continue;
      task.beginStop(now, 'preempted');
      pass.addCommand({ kind: 'stop', task, worker, run: task.run });
    }
    this.#prefetchPermits(all, pass);
    return pass.commands;
  }

  #isEligible({ step, queue }: PendingStep, worker: Worker, now: number): boolean {
    const { requiredLabel } = step.description;
    return (
      worker.entry.service === queue.service &&
      worker.canAcceptTasks(now) &&
      (requiredLabel === undefined || worker.entry.labels.includes(requiredLabel))
    );
  }

  #filterAllowed({ step, queue }: PendingStep, workers: readonly Worker[]): readonly Worker[] {
    if (queue.advice === undefined) return workers;
    return workers.filter((worker) => this.#permits.isAllowed(step.key, worker));
  }

  #planStep({ pending: demand, workers, allowed }: PlaceableStep, pass: PlanningPass): void {
    const { step, queue } = demand;
    this.#startWaiting(demand, allowed, pass);
    if (step.waitingCount === 0) return;
    // Room that is there is kept while permits are being renewed.
    const feasible =
      queue.advice === undefined
        ? []
        : this.#chooseWorkers(demand, allowed.map(withoutPermit), pass);
    const kept = new Set(feasible.map(({ worker }) => worker));
    for (const { worker } of feasible) pass.reservations.reserve(worker, step.description.size);
    const missing = Math.min(step.waitingCount, this.#countWithinCap(step)) - feasible.length;
    for (const worker of reserveCapacity(demand, allowed, missing, pass)) kept.add(worker);
    this.#permitRequests.requestPermits(demand, workers, kept, pass);
  }

  #chooseWorkers(
    { step, dueAt }: PendingStep,
    candidates: readonly Candidate[],
    { now, contention, reservations }: PlanningPass,
  ): readonly TaskAssignment[] {
    const { isGang, size } = step.description;
    const roomy = candidates.filter(({ worker }) =>
      resources.fits(size, reservations.freeOn(worker)),
    );
    if (roomy.length === 0) return [];
    const placement = isGang === true ? gang : independent;
    const request = {
      step,
      limit: this.#countWithinCap(step),
      expectedMs: this.#pendingSteps.estimateDurationMs(step),
      leftMs: dueAt - now,
      contention,
    };
    return placement.choose(request, roomy, reservations);
  }

  #startWaiting(demand: PendingStep, allowed: readonly Worker[], pass: PlanningPass): void {
    const { step, queue } = demand;
    const { size, isGang } = step.description;
    const { now, reservations } = pass;
    const candidates = allowed.flatMap((worker): readonly Candidate[] => {
      if (!worker.isCapacityConfirmed(now) || !resources.fits(size, reservations.freeOn(worker)))
        return [];
      if (queue.advice === undefined) return [withoutPermit(worker)];
      const permit = this.#permits.findPermit(step.key, worker, now);
      return permit === undefined ? [] : [{ worker, permit }];
    });
    const choices = this.#chooseWorkers(demand, candidates, pass);
    if (choices.length === 0) return;
    // The members of a gang share the number of their run.
    const gangRun = Math.max(this.#firstRunNumber, ...step.tasks.map((task) => task.run + 1));
    const shared = step.tasks.find(({ checkpoint }) => checkpoint !== '');
    for (const { task, worker, permit } of choices) {
      if (!step.job.account.canAdmit(size)) break;
      if (isGang === true) task.resumeFrom(shared?.checkpoint ?? '');
      const run = isGang === true ? gangRun : Math.max(this.#firstRunNumber, task.run + 1);
      task.place(worker, run, now);
      pass.addCommand({ kind: 'start', task, worker, run, permit });
    }
  }

  /** Counts how many tasks of the step the cap of the account admits. */
  #countWithinCap(step: StepInstance): number {
    const { account } = step.job;
    const { size } = step.description;
    let count = 0;
    while (count < step.waitingCount && account.canAdmit(size, count + 1)) count += 1;
    return count;
  }

  /** Asks for the permits of steps whose predecessors are about to end. */
  #prefetchPermits(all: readonly Worker[], pass: PlanningPass): void {
    for (const job of this.#jobs.openJobs) {
      const queue = this.#queues.findQueue(job);
      if (queue?.advice === undefined || this.#canStillRun(job, queue.service)) continue;
      for (const step of job.steps) {
        if (!this.#permitRequests.isDueSoon(step, queue.advice.baseMs, pass.now)) continue;
        const demand = { step, queue, deadline: 0, dueAt: 0, punctuality: 'onTime' } as const;
        const workers = all.filter((worker) => this.#isEligible(demand, worker, pass.now));
        this.#permitRequests.requestPermits(demand, workers, new Set(), pass);
      }
    }
  }
}

const withoutPermit = (worker: Worker): Candidate => ({ worker, permit: undefined });
