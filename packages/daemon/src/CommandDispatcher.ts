import type { Command, Scheduler, Worker } from '@toucanline/jobs';
import { hostLimits } from './hostLimits.js';
import type { LeaderLease } from './LeaderLease.js';
import type { LeaderDependencies } from './LeaderDependencies.js';
import type { WorkerSession } from './WorkerSession.js';

type StartOrder = Extract<Command, { kind: 'start' }>;
type StopOrder = Extract<Command, { kind: 'stop' }>;

/** Carries the scheduler's orders out on the workers and reports their outcomes to it. */
export class CommandDispatcher {
  readonly #dependencies: LeaderDependencies;
  readonly #leaderLease: LeaderLease;
  readonly #scheduler: Scheduler;
  readonly #findSession: (worker: Worker) => WorkerSession | undefined;
  readonly #onChange: () => void;
  #isStopped = false;

  /**
   * @param parts - what the leader needs of its host
   * @param claim - claim of the term
   * @param scheduler - takes the outcomes
   * @param driverOf - finds the driver of a worker
   * @param changed - called when an outcome may allow new decisions
   */
  public constructor(
    parts: LeaderDependencies,
    claim: LeaderLease,
    scheduler: Scheduler,
    driverOf: (worker: Worker) => WorkerSession | undefined,
    changed: () => void,
  ) {
    this.#dependencies = parts;
    this.#leaderLease = claim;
    this.#scheduler = scheduler;
    this.#findSession = driverOf;
    this.#onChange = changed;
  }

  /** Ignores all outcomes from now on. */
  public stop(): void {
    this.#isStopped = true;
  }

  /**
   * Carries out the starts and stops of one planning pass.
   *
   * @param orders - the orders; calls for permits are passed over
   * @param plannedAt - monotonic time of the pass
   */
  public dispatch(orders: readonly Command[], plannedAt: number): void {
    this.#logPlacements(orders, plannedAt);
    for (const order of orders) {
      if (order.kind === 'start') void this.#start(order);
      else if (order.kind === 'stop') void this.#stop(order);
    }
  }

  /** Writes a line for each step whose tasks start; single starts are logged only if they do not go through. */
  #logPlacements(orders: readonly Command[], plannedAt: number): void {
    const steps = new Map<string, StartOrder[]>();
    for (const order of orders) {
      if (order.kind !== 'start') continue;
      const { key } = order.task.step;
      steps.set(key, [...(steps.get(key) ?? []), order]);
    }
    for (const [step, starts] of steps) {
      const [first] = starts;
      if (first === undefined) continue;
      const { job, waitingCount } = first.task.step;
      this.#dependencies.log.write('tasksPlaced', {
        request: job.id,
        step,
        run: first.run,
        term: this.#leaderLease.term,
        placed: starts.map(({ task, worker }) => `${task.index}@${worker.id}`).join(' '),
        stillWaiting: waitingCount,
        jobAgeMs: Math.round(plannedAt - job.acceptedAt),
      });
    }
  }

  async #start(order: StartOrder): Promise<void> {
    const { control, log } = this.#dependencies;
    const { task, worker, run, permit } = order;
    if (!this.#leaderLease.canIssueCommands) {
      this.#scheduler.handleStartOutcome(order, 'late', performance.now());
      return;
    }
    const sentAt = performance.now();
    const { outcome, clockMs } = await control.start(worker.entry, {
      task: task.name,
      run,
      payload: task.step.job.record.specification.payload,
      leaseUntilMs: worker.extendLease(sentAt),
      term: this.#leaderLease.term,
      ...(task.checkpoint === '' ? {} : { checkpoint: task.checkpoint }),
      ...(permit === undefined ? {} : { permit }),
    });
    if (this.#isStopped) return;
    const now = performance.now();
    this.#dependencies.metrics.observeStart(now - sentAt);
    if (clockMs !== undefined) worker.recordContact(clockMs, now);
    if (outcome !== 'started') {
      log.write('startNotConfirmed', {
        request: task.step.job.id,
        task: task.name,
        run,
        worker: worker.id,
        term: this.#leaderLease.term,
        answerMs: Math.round(now - sentAt),
        outcome,
      });
    }
    if (outcome === 'fenced') {
      this.#dependencies.lost('a worker has seen a newer fencing token');
      return;
    }
    this.#scheduler.handleStartOutcome(order, outcome, now);
    if (outcome !== 'started') this.#onChange();
    this.#findSession(worker)?.wake();
  }

  async #stop({ task, worker, run }: StopOrder): Promise<void> {
    const wasUnconfirmed = !task.isStartConfirmed;
    const reason = task.stopReason;
    const outcome = await this.#dependencies.control.stop(
      worker.entry,
      task.name,
      run,
      this.#leaderLease.term,
    );
    if (this.#isStopped) return;
    const now = performance.now();
    this.#dependencies.log.write('taskStopped', {
      request: task.step.job.id,
      task: task.name,
      run,
      worker: worker.id,
      state: task.step.job.state,
      reason,
      outcome,
    });
    if (outcome === 'fenced') {
      this.#dependencies.lost('a worker has seen a newer fencing token');
      return;
    }
    this.#scheduler.handleStopOutcome(task, run, outcome === 'confirmed', now);
    const driver = this.#findSession(worker);
    driver?.wake();
    // A run that never arrived has no end that would end the wait of the report under way.
    if (outcome === 'confirmed' && wasUnconfirmed) {
      setTimeout(
        () => void driver?.pollNow(),
        this.#dependencies.stopMs + hostLimits.stopCheckMarginMs,
      );
    }
    this.#onChange();
  }
}
