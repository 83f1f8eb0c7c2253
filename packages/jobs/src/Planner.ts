import type { QueueTerms } from './QueueTerms.js';
import type { Candidate } from './Candidate.js';
import type { TaskAssignment } from './TaskAssignment.js';
import type { PendingStep } from './PendingStep.js';
import { PendingSteps } from './PendingSteps.js';
import { GangTaskPlacement } from './GangTaskPlacement.js';
import { IndependentTaskPlacement } from './IndependentTaskPlacement.js';
import type { DurationEstimates } from './durations/DurationEstimates.js';
import type { Job } from './Job.js';
import type { JobRegistry } from './JobRegistry.js';
import type { QueueSettings } from './QueueSettings.js';
import type { Command } from './Command.js';
import type { PermitCache } from './PermitCache.js';
import type { LateStarts } from './membership/LateStarts.js';
import { EligibleWorkers } from './EligibleWorkers.js';
import { PermitRequests } from './PermitRequests.js';
import { BlockedSteps } from './placement/BlockedSteps.js';
import { ColdWorkers } from './placement/ColdWorkers.js';
import type { Evacuations } from './placement/Evacuations.js';
import { PlanningPass } from './PlanningPass.js';
import { PlanningWindow } from './PlanningWindow.js';
import { TurnOrder } from './backlog/TurnOrder.js';
import { resources } from './resources.js';
import type { StepInstance } from './StepInstance.js';
import type { Task } from './Task.js';
import { reserveCapacity } from './reserveCapacity.js';
import type { Worker } from './Worker.js';
import type { WorkerPool } from './WorkerPool.js';

const independent = new IndependentTaskPlacement();
const gang = new GangTaskPlacement();

/** A step with waiting tasks, and the workers on which they may run. */
interface PlaceableStep {
  readonly pending: PendingStep;
  /** Workers that match its service and labels and accept tasks. */
  readonly workers: readonly Worker[];
  /** Whether a task may fit on one of the workers now. */
  readonly mayFit: boolean;
  /** Subset of the workers that the placement policy is known to allow. */
  readonly allowed: readonly Worker[];
}

/** Waiting tasks that may start on one worker only; undefined if they cannot start there now. */
type BoundTasks = ReadonlyMap<Task, Worker | undefined>;

const noBoundTasks: BoundTasks = new Map();

/** Decides which waiting tasks start on which workers. */
export class Planner {
  /** Steps that wait for the end of an evacuation. */
  public readonly blockedSteps: BlockedSteps;
  readonly #evacuations: Evacuations;
  readonly #coldWorkers = new ColdWorkers();
  readonly #jobs: JobRegistry;
  readonly #pool: WorkerPool;
  readonly #queues: QueueSettings;
  readonly #permits: PermitCache;
  readonly #durations: DurationEstimates;
  readonly #pendingSteps: PendingSteps;
  readonly #permitRequests: PermitRequests;
  readonly #window = new PlanningWindow();
  readonly #turnOrder: TurnOrder;
  #turnKeys: readonly string[] = [];
  readonly #isHeld: (job: Job, queue: QueueTerms) => boolean;
  readonly #firstRunNumber: number;
  readonly #lateStarts: LateStarts;

  /**
   * @param jobs - known jobs
   * @param pool - known workers
   * @param queues - settings of the queues
   * @param permits - placement permits
   * @param durations - expected durations
   * @param isHeld - checks whether no tasks of a job may start now
   * @param firstRunNumber - lowest run number of the leader's term
   * @param evacuations - data centres on whose workers nothing starts
   * @param lateStarts - starts that may still be executed; their tasks are bound to a worker
   */
  public constructor(
    jobs: JobRegistry,
    pool: WorkerPool,
    queues: QueueSettings,
    permits: PermitCache,
    durations: DurationEstimates,
    isHeld: (job: Job, queue: QueueTerms) => boolean,
    firstRunNumber: number,
    evacuations: Evacuations,
    lateStarts: LateStarts,
  ) {
    this.#evacuations = evacuations;
    this.blockedSteps = new BlockedSteps(evacuations, permits);
    this.#lateStarts = lateStarts;
    this.#jobs = jobs;
    this.#pool = pool;
    this.#queues = queues;
    this.#permits = permits;
    this.#durations = durations;
    this.#pendingSteps = new PendingSteps(jobs, queues, durations, isHeld);
    this.#turnOrder = new TurnOrder((stepKey) => permits.isRequested(stepKey));
    this.#permitRequests = new PermitRequests(permits, durations);
    this.#isHeld = isHeld;
    this.#firstRunNumber = firstRunNumber;
  }

  /** Keys of the steps that have a turn since the last pass, the first one first. */
  public get turnKeys(): readonly string[] {
    return this.#turnKeys;
  }

  /**
   * Runs one planning pass.
   *
   * @param now - monotonic time in milliseconds
   * @returns commands to carry out; started tasks are already placed
   */
  public plan(now: number): readonly Command[] {
    const pass = new PlanningPass(now, this.#queues);
    const eligible = new EligibleWorkers(this.#pool.all, now, this.#evacuations);
    this.#coldWorkers.update(this.#pool.all, now);
    const boundTasks = this.#lateStarts.listWaiting();
    for (const { task, worker } of boundTasks)
      if (worker !== undefined) pass.reservations.reserve(worker, task.occupiedResources);
    const boundSteps = new Set(boundTasks.map(({ task }) => task.step));
    const unblocked = this.blockedSteps.selectUnblocked(this.#pendingSteps.collect(now), now);
    const turns = this.#turnOrder.select(unblocked, eligible, now);
    this.#turnKeys = turns.map(({ step }) => step.key);
    const windowed = this.#window.select(unblocked, turns);
    const selected = this.blockedSteps.examine(windowed, eligible, now);
    const ready = selected.map((pending): PlaceableStep => {
      const { workers, members, maxFree } = eligible.find(pending);
      const { step, queue } = pending;
      const allowed = queue.advice === undefined ? workers : this.#listAllowed(step, members);
      pass.contention.addStep(pending, allowed);
      return { pending, workers, mayFit: resources.fits(step.description.size, maxFree), allowed };
    });
    for (const each of ready) {
      if (boundSteps.has(each.pending.step)) this.#planBoundStep(each, boundTasks, pass);
      else this.#planStep(each, noBoundTasks, pass);
    }
    for (const task of pass.preemption.victims) {
      const { worker } = task;
      if (worker === undefined) continue;
      task.beginStop(now, 'preempted');
      pass.addCommand({ kind: 'stop', task, worker, run: task.run });
    }
    this.#prefetchPermits(eligible, pass);
    return pass.commands;
  }

  /**
   * Adapts later passes to the processor.
   *
   * @param durationMs - duration of the last pass, in milliseconds
   */
  public recordPassDuration(durationMs: number): void {
    this.#window.recordDuration(durationMs);
  }

  #listAllowed({ key }: StepInstance, members: ReadonlySet<Worker>): readonly Worker[] {
    return this.#permits.listAllowed(key).filter((worker) => members.has(worker));
  }

  /** Plans a step with bound tasks: the capacity that is kept free for them is available to this step only. */
  #planBoundStep(
    each: PlaceableStep,
    boundTasks: ReturnType<LateStarts['listWaiting']>,
    pass: PlanningPass,
  ): void {
    const { reservations } = pass;
    const own = boundTasks.filter(({ task }) => task.step === each.pending.step);
    for (const { task, worker } of own)
      if (worker !== undefined) reservations.cancel(worker, task.occupiedResources);
    const bound = new Map(
      own.map(({ task }) => [task, this.#findBoundWorker(task, each.pending.queue)]),
    );
    this.#planStep(each, bound, pass);
    for (const { task, worker } of own)
      if (worker !== undefined && task.phase === 'waiting')
        reservations.reserve(worker, task.occupiedResources);
  }

  /**
   * Finds the only worker on which a task with a pending start may start. A pause does not matter: the worker was paused
   * because that start got no response, and has confirmed its stop since.
   */
  #findBoundWorker(task: Task, { service }: QueueTerms): Worker | undefined {
    const worker = this.#lateStarts.findWorker(task);
    const { requiredLabel } = task.step.description;
    const isEligible =
      worker?.isAvailable === true &&
      !this.#evacuations.covers(worker) &&
      worker.entry.service === service &&
      (requiredLabel === undefined || worker.entry.labels.includes(requiredLabel));
    return isEligible ? worker : undefined;
  }

  #planStep(
    { pending, workers, mayFit, allowed }: PlaceableStep,
    bound: BoundTasks,
    pass: PlanningPass,
  ): void {
    const { step, queue } = pending;
    const { size } = step.description;
    if (mayFit || bound.size > 0) this.#startWaiting(pending, allowed, bound, pass);
    if (step.waitingCount === 0) return;
    // Capacity that is already free is reserved while permits are being renewed or a higher allowance is being stored.
    const maxTasks = Math.min(step.waitingCount, step.job.account.countWithinCap(size));
    const feasible =
      queue.advice === undefined || !mayFit
        ? []
        : this.#chooseWorkers(
            pending,
            allowed.map(withoutPermit),
            maxTasks,
            bound,
            withoutPermit,
            pass,
          );
    const reservedWorkers = new Set(feasible.map(({ worker }) => worker));
    for (const { worker } of feasible) pass.reservations.reserve(worker, size);
    // Capacity on other workers is of no use for bound tasks, nor for a gang with a member that must wait.
    const mustWait = step.description.isGang === true && [...bound.values()].includes(undefined);
    const waitingCount = mustWait ? 0 : step.waitingCount - countWaiting(bound);
    const missing = Math.min(waitingCount, maxTasks) - feasible.length;
    for (const worker of reserveCapacity(pending, allowed, missing, pass))
      reservedWorkers.add(worker);
    const hasRoom = feasible.length > 0;
    const candidates = { workers, allowed, reserved: reservedWorkers, mayFit, hasRoom };
    this.#permitRequests.requestPermits(pending, candidates, pass);
  }

  #chooseWorkers(
    { step, stepDeadline }: PendingStep,
    candidates: readonly Candidate[],
    maxTasks: number,
    bound: BoundTasks,
    findCandidate: (worker: Worker) => Candidate | undefined,
    { now, contention, reservations }: PlanningPass,
  ): readonly TaskAssignment[] {
    const { isGang, size } = step.description;
    const fitting = candidates.filter(({ worker }) =>
      resources.fits(size, reservations.freeOn(worker)),
    );
    if (fitting.length === 0 && bound.size === 0) return [];
    const placement = isGang === true ? gang : independent;
    const request = {
      step,
      maxTasks,
      requiredMs: this.#durations.estimateRequiredMs(step),
      timeLeftMs: stepDeadline - now,
      contention,
      computeColdLeftMs: (worker: Worker) => this.#coldWorkers.computeLeftMs(worker, now),
      bound: new Map(
        [...bound]
          .filter(([{ phase }]) => phase === 'waiting')
          .map(([task, worker]) => [task, worker && findCandidate(worker)]),
      ),
    };
    return placement.choose(request, fitting, reservations);
  }

  #startWaiting(
    pending: PendingStep,
    allowed: readonly Worker[],
    bound: BoundTasks,
    pass: PlanningPass,
  ): void {
    const { step, queue } = pending;
    const { size, isGang } = step.description;
    const { now, reservations } = pass;
    const findCandidate = (worker: Worker): Candidate | undefined => {
      if (!worker.isCapacityConfirmed(now) || !resources.fits(size, reservations.freeOn(worker)))
        return undefined;
      if (queue.advice === undefined) return withoutPermit(worker);
      const permit = this.#permits.findPermit(step.key, worker, now);
      return permit === undefined ? undefined : { worker, permit };
    };
    const candidates = allowed.flatMap((worker) => findCandidate(worker) ?? []);
    const { account } = step.job;
    const maxTasks = Math.min(step.waitingCount, account.countStartable(size));
    if (maxTasks < Math.min(step.waitingCount, account.countWithinCap(size)))
      account.recordShortage();
    const assignments = this.#chooseWorkers(
      pending,
      candidates,
      maxTasks,
      bound,
      findCandidate,
      pass,
    );
    if (assignments.length === 0) return;
    // The members of a gang share the number of their run.
    const gangRun = Math.max(this.#firstRunNumber, ...step.tasks.map((task) => task.run + 1));
    const shared = step.tasks.find(({ checkpoint }) => checkpoint !== '');
    for (const { task, worker, permit } of assignments) {
      if (!account.canAdmit(size)) break;
      if (isGang === true) task.resumeFrom(shared?.checkpoint ?? '');
      const run = isGang === true ? gangRun : Math.max(this.#firstRunNumber, task.run + 1);
      task.place(worker, run, now);
      step.turn.recordStart(now);
      this.#lateStarts.record(task, worker.id, run, now);
      pass.addCommand({ kind: 'start', task, worker, run, permit });
    }
  }

  /** Requests permits for steps whose dependencies are about to complete. */
  #prefetchPermits(eligible: EligibleWorkers, pass: PlanningPass): void {
    for (const job of this.#jobs.openJobs) {
      const queue = this.#queues.findQueue(job);
      if (queue?.advice === undefined || this.#isHeld(job, queue)) continue;
      for (const step of job.steps) {
        if (!this.#permitRequests.isDueSoon(step, queue.advice.baseMs, pass.now)) continue;
        const pending = {
          step,
          queue,
          jobDeadline: 0,
          stepDeadline: 0,
          lateness: 'onTime',
        } as const;
        const { workers, members } = eligible.find(pending);
        const allowed = this.#listAllowed(step, members);
        // Its dependencies are about to complete, so its permits will be of use when they arrive.
        const candidates = {
          workers,
          allowed,
          reserved: new Set<Worker>(),
          mayFit: false,
          hasRoom: true,
        };
        this.#permitRequests.requestPermits(pending, candidates, pass);
      }
    }
  }
}

const countWaiting = (bound: BoundTasks): number =>
  [...bound.keys()].filter(({ phase }) => phase === 'waiting').length;

const withoutPermit = (worker: Worker): Candidate => ({ worker, permit: undefined });
