import type { Command, Scheduler, Worker } from '@toucanline/jobs';
import { hostLimits } from './hostLimits.js';
import type { LeaderLease } from './LeaderLease.js';
import type { LeaderDependencies } from './LeaderDependencies.js';
import type { WorkerSession } from './WorkerSession.js';

type StartCommand = Extract<Command, { kind: 'start' }>;
type StopCommand = Extract<Command, { kind: 'stop' }>;

/** Sends the scheduler's commands to the workers and reports the outcomes to the scheduler. */
export class CommandDispatcher {
  readonly #dependencies: LeaderDependencies;
  readonly #leaderLease: LeaderLease;
  readonly #scheduler: Scheduler;
  readonly #findSession: (worker: Worker) => WorkerSession | undefined;
  readonly #onChange: () => void;
  readonly #computeStartTimeLeftMs: () => number;
  #isStopped = false;

  /**
   * @param dependencies - what the leader needs from its host
   * @param leaderLease - leader lease of this term
   * @param scheduler - receives the outcomes
   * @param findSession - finds the session of a worker
   * @param onChange - called when an outcome may allow new decisions
   * @param computeStartTimeLeftMs - computes for how long a start that is sent now may be executed, in milliseconds; 0 or
   * less if none may be sent
   */
  public constructor(
    dependencies: LeaderDependencies,
    leaderLease: LeaderLease,
    scheduler: Scheduler,
    findSession: (worker: Worker) => WorkerSession | undefined,
    onChange: () => void,
    computeStartTimeLeftMs: () => number,
  ) {
    this.#dependencies = dependencies;
    this.#leaderLease = leaderLease;
    this.#scheduler = scheduler;
    this.#findSession = findSession;
    this.#onChange = onChange;
    this.#computeStartTimeLeftMs = computeStartTimeLeftMs;
  }

  /** Ignores all outcomes from now on. */
  public stop(): void {
    this.#isStopped = true;
  }

  /**
   * Sends the start and stop commands of one planning pass.
   *
   * @param commands - commands of the pass; requests for permits are skipped
   * @param plannedAt - monotonic time of the pass, in milliseconds
   */
  public dispatch(commands: readonly Command[], plannedAt: number): void {
    this.#logPlacements(commands, plannedAt);
    for (const command of commands) {
      if (command.kind === 'start') void this.#start(command);
      else if (command.kind === 'stop') void this.#stop(command);
    }
  }

  /** Logs one line for each step whose tasks start; a single start is logged only if it fails. */
  #logPlacements(commands: readonly Command[], plannedAt: number): void {
    const steps = new Map<string, StartCommand[]>();
    for (const command of commands) {
      if (command.kind !== 'start') continue;
      const { key } = command.task.step;
      steps.set(key, [...(steps.get(key) ?? []), command]);
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

  async #start(command: StartCommand): Promise<void> {
    const { workerClient, log } = this.#dependencies;
    const { task, worker, run, permit } = command;
    const startTimeLeftMs = this.#computeStartTimeLeftMs();
    if (!this.#leaderLease.canIssueCommands || startTimeLeftMs <= 0) {
      this.#scheduler.handleStartOutcome(command, 'late', performance.now());
      return;
    }
    const sentAt = performance.now();
    const fencingToken = worker.fence.beginStart();
    const { outcome, clockMs } = await workerClient.start(worker.entry, {
      task: task.name,
      run,
      payload: task.step.job.record.specification.payload,
      // The worker refuses a start that arrives after its lease, however long it was on the way.
      leaseUntilMs: worker.extendLease(sentAt, startTimeLeftMs),
      fencingToken,
      ...(task.checkpoint === '' ? {} : { checkpoint: task.checkpoint }),
      ...(permit === undefined ? {} : { permit }),
    });
    const now = performance.now();
    worker.endStart(clockMs, sentAt, now);
    if (this.#isStopped) return;
    this.#dependencies.metrics.observeStart(now - sentAt);
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
    if (outcome === 'fenced' && !this.#scheduler.isOvertaken(worker, fencingToken)) {
      this.#dependencies.onLeaseLost('a worker has seen a newer fencing token');
      return;
    }
    this.#scheduler.handleStartOutcome(command, outcome, now);
    if (outcome !== 'started') this.#onChange();
    this.#findSession(worker)?.wake();
  }

  async #stop(command: StopCommand): Promise<void> {
    const { task, worker, run } = command;
    const wasUnconfirmed = !task.isStartConfirmed;
    const reason = task.stopReason;
    const fencingToken = worker.fence.token;
    const outcome = await this.#dependencies.workerClient.stop(
      worker.entry,
      task.name,
      run,
      fencingToken,
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
    if (outcome === 'fenced' && !this.#scheduler.isOvertaken(worker, fencingToken)) {
      this.#dependencies.onLeaseLost('a worker has seen a newer fencing token');
      return;
    }
    this.#scheduler.handleStopOutcome(command, outcome === 'confirmed', now);
    const session = this.#findSession(worker);
    session?.wake();
    // If the start never reached the worker, no run ends, and the pending report would wait for its full time.
    if (outcome === 'confirmed' && wasUnconfirmed) {
      setTimeout(
        () => void session?.pollNow(),
        this.#dependencies.times.worker.maxStopMs + hostLimits.stopCheckMarginMs,
      );
    }
    this.#onChange();
  }
}
