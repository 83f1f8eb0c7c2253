import type { Command, Scheduler, Worker } from '@toucanline/jobs';
import { hostTimes } from './hostTimes.js';
import type { LeaderClaim } from './LeaderClaim.js';
import type { LeadershipParts } from './LeadershipParts.js';
import type { WorkerDriver } from './WorkerDriver.js';

type StartOrder = Extract<Command, { kind: 'start' }>;
type StopOrder = Extract<Command, { kind: 'stop' }>;

/** Carries the scheduler's orders out on the workers and reports their outcomes to it. */
export class OrderDispatcher {
  readonly #parts: LeadershipParts;
  readonly #claim: LeaderClaim;
  readonly #scheduler: Scheduler;
  readonly #driverOf: (worker: Worker) => WorkerDriver | undefined;
  readonly #changed: () => void;
  #stopped = false;

  /**
   * @param parts - what the leader needs of its host
   * @param claim - claim of the term
   * @param scheduler - takes the outcomes
   * @param driverOf - finds the driver of a worker
   * @param changed - called when an outcome may allow new decisions
   */
  public constructor(
    parts: LeadershipParts,
    claim: LeaderClaim,
    scheduler: Scheduler,
    driverOf: (worker: Worker) => WorkerDriver | undefined,
    changed: () => void,
  ) {
    this.#parts = parts;
    this.#claim = claim;
    this.#scheduler = scheduler;
    this.#driverOf = driverOf;
    this.#changed = changed;
  }

  /** Ignores all outcomes from now on. */
  public stop(): void {
    this.#stopped = true;
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
      this.#parts.log.write('tasksPlaced', {
        request: job.id,
        step,
        run: first.run,
        term: this.#claim.term,
        placed: starts.map(({ task, worker }) => `${task.index}@${worker.id}`).join(' '),
        stillWaiting: waitingCount,
        jobAgeMs: Math.round(plannedAt - job.acceptedAt),
      });
    }
  }

  async #start(order: StartOrder): Promise<void> {
    const { control, log } = this.#parts;
    const { task, worker, run, permit } = order;
    if (!this.#claim.mayOrder) {
      this.#scheduler.handleStartOutcome(order, 'late', performance.now());
      return;
    }
    const sentAt = performance.now();
    const { outcome, clockMs } = await control.start(worker.entry, {
      task: task.name,
      run,
      payload: task.step.job.record.specification.payload,
      leaseUntilMs: worker.extendLease(sentAt),
      term: this.#claim.term,
      ...(task.checkpoint === '' ? {} : { checkpoint: task.checkpoint }),
      ...(permit === undefined ? {} : { permit }),
    });
    if (this.#stopped) return;
    const now = performance.now();
    this.#parts.metrics.noteStart(now - sentAt);
    if (clockMs !== undefined) worker.recordContact(clockMs, now);
    if (outcome !== 'started') {
      log.write('startNotConfirmed', {
        request: task.step.job.id,
        task: task.name,
        run,
        worker: worker.id,
        term: this.#claim.term,
        answerMs: Math.round(now - sentAt),
        outcome,
      });
    }
    if (outcome === 'fenced') {
      this.#parts.lost('a worker has seen a newer fencing token');
      return;
    }
    this.#scheduler.handleStartOutcome(order, outcome, now);
    if (outcome !== 'started') this.#changed();
    this.#driverOf(worker)?.wake();
  }

  async #stop({ task, worker, run }: StopOrder): Promise<void> {
    const wasUnconfirmed = !task.isStartConfirmed;
    const reason = task.stopReason;
    const outcome = await this.#parts.control.stop(worker.entry, task.name, run, this.#claim.term);
    if (this.#stopped) return;
    const now = performance.now();
    this.#parts.log.write('taskStopped', {
      request: task.step.job.id,
      task: task.name,
      run,
      worker: worker.id,
      state: task.step.job.state,
      reason,
      outcome,
    });
    if (outcome === 'fenced') {
      this.#parts.lost('a worker has seen a newer fencing token');
      return;
    }
    this.#scheduler.handleStopOutcome(task, run, outcome === 'confirmed', now);
    const driver = this.#driverOf(worker);
    driver?.wake();
    // A run that never arrived has no end that would end the wait of the report under way.
    if (outcome === 'confirmed' && wasUnconfirmed) {
      setTimeout(() => void driver?.look(), this.#parts.stopMs + hostTimes.lookMarginMs);
    }
    this.#changed();
  }
}
