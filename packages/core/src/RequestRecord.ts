import type { Failure, Ran, Request, RequestState, RequestView } from '@toucanline/schema';
import type { StopPlan } from './StopPlan.js';
import type { TaskRecord } from './TaskRecord.js';

const finalStates: ReadonlySet<RequestState> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'refused',
  'unknown',
]);

/** One request as the shard owner knows it. */
export class RequestRecord {
  /** Local monotonic time of the arrival, in milliseconds. */
  public readonly arrivedAt: number;
  readonly #tasks = new Map<number, TaskRecord>();
  #request: Request;
  readonly #outputs = new Map<number, string>();
  readonly #completedIndexes = new Set<number>();
  readonly #avoidedWorkers = new Set<string>();
  #state: RequestState = 'waiting';
  #deadlineAt: number;
  #attempt = 0;
  #ran: Ran = 'no';
  #uncertainStarts = 0;
  #retries = 0;
  #notBefore = 0;
  #finishedAt: number | undefined;
  #reason: string | undefined;
  #failure: Failure | undefined;
  #stopPlan: StopPlan | undefined;
  #restoredView: RequestView | undefined;
  #accepted = false;
  #durable = false;
  #earliestStartAt = Infinity;
  #isCompletionPending = false;

  /**
   * @param request - the admitted request
   * @param arrivedAt - local monotonic time of the arrival, in milliseconds
   * @param deadlineAt - local monotonic time of the deadline, in milliseconds
   */
  public constructor(request: Request, arrivedAt: number, deadlineAt: number) {
    this.#request = request;
    this.arrivedAt = arrivedAt;
    this.#deadlineAt = deadlineAt;
  }

  /** The admitted request. */
  public get request(): Request {
    return this.#request;
  }

  /** Identifier of the request. */
  public get id(): string {
    return this.request.id;
  }

  /** Whether the acceptance is in the journal, or may be, so that a new owner would go on with it. */
  public get isAccepted(): boolean {
    return this.#accepted;
  }

  /** Whether the journal certainly has the acceptance. */
  public get isDurable(): boolean {
    return this.#durable;
  }

  /** Local monotonic time before which no earlier owner can have started it, in milliseconds. */
  public get earliestStartAt(): number {
    return this.#earliestStartAt;
  }

  /** Current state; `stopping` while tasks that shall stop may still be active. */
  public get state(): RequestState {
    return this.#stopPlan === undefined || this.isFinished ? this.#state : 'stopping';
  }

  /** Whether the state cannot change any more. */
  public get isFinished(): boolean {
    return finalStates.has(this.#state);
  }

  /** Local monotonic time of the deadline, in milliseconds. */
  public get deadlineAt(): number {
    return this.#deadlineAt;
  }

  /** Earliest local monotonic time of the next start, in milliseconds. */
  public get notBefore(): number {
    return this.#notBefore;
  }

  /** Local monotonic time of the end, in milliseconds. */
  public get finishedAt(): number | undefined {
    return this.#finishedAt;
  }

  /** Starts after the first one that were charged to the retry budget. */
  public get retries(): number {
    return this.#retries;
  }

  /** What happens once all tasks have stopped; undefined unless the request is being stopped. */
  public get stopPlan(): StopPlan | undefined {
    return this.#stopPlan;
  }

  /** Whether the request ran, as far as it is known. */
  public get ran(): Ran {
    if (this.#ran === 'no' && this.#uncertainStarts > 0) return 'unknown';
    return this.#ran;
  }

  /** Number of starts so far. */
  public get attempt(): number {
    return this.#attempt;
  }

  /** Whether a start may have happened that is neither confirmed nor disproved. */
  public get hasUncertainStart(): boolean {
    return this.#uncertainStarts > 0;
  }

  /** Current attempt of each task that was placed. */
  public get tasks(): readonly TaskRecord[] {
    return [...this.#tasks.values()];
  }

  /** Attempts that may occupy a worker. */
  public get activeTasks(): readonly TaskRecord[] {
    return [...this.#tasks.values()].filter((task) => task.isActive);
  }

  /** Workers on which a task of the request failed; retries prefer others. */
  public get avoidedWorkers(): ReadonlySet<string> {
    return this.#avoidedWorkers;
  }

  /** Indexes of tasks that neither succeeded nor occupy a worker. */
  public get pendingIndexes(): readonly number[] {
    const pending: number[] = [];
    for (let index = 0; index < this.request.tasks; index += 1) {
      if (!this.#completedIndexes.has(index) && this.#tasks.get(index)?.isActive !== true)
        pending.push(index);
    }
    return pending;
  }

  /** Whether all tasks succeeded. */
  public get isComplete(): boolean {
    return this.#completedIndexes.size === this.request.tasks;
  }

  /**
   * Notes that a task failed on a worker.
   *
   * @param worker - name of the worker
   */
  public avoidWorker(worker: string): void {
    this.#avoidedWorkers.add(worker);
  }

  /**
   * Sets the deadline again, for example when an entry resubmits an adopted request.
   *
   * @param deadlineAt - local monotonic time in milliseconds
   */
  public setDeadline(deadlineAt: number): void {
    this.#deadlineAt = deadlineAt;
  }

  /**
   * Notes why the request waits.
   *
   * @param reason - one sentence for the caller
   */
  public setReason(reason: string): void {
    this.#reason = reason;
  }

  /**
   * Begins to stop all tasks. An earlier plan is kept, except that a cancellation replaces a restart.
   *
   * @param plan - what happens once all tasks have stopped
   */
  public beginStop(plan: StopPlan): void {
    if (this.#stopPlan === undefined || this.#stopPlan.next === 'requeue') this.#stopPlan = plan;
  }

  /**
   * Notes the current attempt of a task. The start is uncertain until it is confirmed or disproved.
   *
   * @param task - the attempt
   */
  public addTask(task: TaskRecord): void {
    this.#tasks.set(task.assignment.index, task);
    this.#attempt = Math.max(this.#attempt, task.assignment.attempt);
    this.#uncertainStarts += 1;
    this.#state = 'starting';
    this.#reason = undefined;
  }

  /**
   * Finds the current attempt of a task.
   *
   * @param index - index of the task
   * @returns the attempt, if any
   */
  public findTask(index: number): TaskRecord | undefined {
    return this.#tasks.get(index);
  }

  /**
   * Notes that a worker started a task.
   *
   * @param task - the attempt
   * @param now - local monotonic time in milliseconds
   */
  public confirmStart(task: TaskRecord, now: number): void {
    if (!task.isConfirmed) this.#uncertainStarts -= 1;
    task.confirm(now);
    this.#ran = 'yes';
    const areAllConfirmed = this.activeTasks.every(({ isConfirmed }) => isConfirmed);
    if (areAllConfirmed && this.pendingIndexes.length === 0 && !this.isFinished) {
      this.#state = 'running';
    }
  }

  /**
   * Notes the proof that a task did not start.
   *
   * @param task - the attempt
   */
  public markNotStarted(task: TaskRecord): void {
    if (task.isConfirmed) return;
    this.#uncertainStarts -= 1;
    task.setState('stopped');
  }

  /**
   * Notes the success of a task.
   *
   * @param index - index of the task
   * @param output - output of the task
   */
  public completeTask(index: number, output: string): void {
    this.#completedIndexes.add(index);
    this.#outputs.set(index, output);
  }

  /** Forgets all tasks: those that are still active belong to no request any more. */
  public clearTasks(): void {
    this.#tasks.clear();
  }

  /** Forgets completed tasks, because a gang starts again as a whole. */
  public resetCompletedTasks(): void {
    this.#completedIndexes.clear();
    this.#outputs.clear();
  }

  /**
   * Puts the request back into the queue.
   *
   * @param notBefore - earliest local monotonic time of the next start, in milliseconds
   * @param charged - whether the start counts against the retry budget
   */
  public requeue(notBefore: number, charged: boolean): void {
    this.#stopPlan = undefined;
    this.#state = 'waiting';
    this.#notBefore = notBefore;
    if (charged) this.#retries += 1;
  }

  /**
   * Ends the request.
   *
   * @param state - final state
   * @param now - local monotonic time in milliseconds
   * @param failure - reason, unless the request succeeded
   */
  public finish(state: RequestState, now: number, failure?: Failure): void {
    this.#state = state;
    this.#finishedAt = now;
    this.#failure = failure;
    this.#reason = undefined;
  }

  /**
   * Drops the command of a finished request, which stays readable for the retention time. Nobody reads the
   * command after the end, except an acceptance that is written to the journal together with the end.
   */
  public dropCommand(): void {
    if (!this.isFinished || this.#request.command === '') return;
    this.#request = { ...this.#request, command: '' };
    for (const task of this.#tasks.values()) task.setRequest(this.#request);
  }

  /**
   * Restores a finished request from the journal or from a snapshot.
   *
   * @param view - its last view
   * @param now - local monotonic time in milliseconds
   */
  public restore(view: RequestView, now: number): void {
    this.#restoredView = view;
    this.#state = view.state;
    this.#ran = view.ran;
    this.#attempt = view.attempt;
    this.#finishedAt = now;
    this.dropCommand();
  }

  /**
   * Takes the counters over from a former owner.
   *
   * @param attempt - highest attempt so far
   * @param retries - starts that were charged to the retry budget
   */
  public restoreCounters(attempt: number, retries: number): void {
    this.#attempt = Math.max(this.#attempt, attempt);
    this.#retries = Math.max(this.#retries, retries);
  }

  /**
   * Reads the output of a task.
   *
   * @param index - index of the task
   * @returns the output, if the task succeeded
   */
  public readOutput(index: number): string | undefined {
    return this.#outputs.get(index);
  }

  /**
   * Notes since when an earlier owner may have started parts of the request.
   *
   * @param earliestStartAt - local monotonic time before which it cannot have, in milliseconds
   */
  public lowerEarliestStart(earliestStartAt: number): void {
    this.#earliestStartAt = Math.min(this.#earliestStartAt, earliestStartAt);
  }

  /**
   * Notes that an earlier owner may have started the request.
   *
   * @param attempt - highest attempt that is known
   * @param earliestStartAt - local monotonic time before which it cannot have, in milliseconds
   */
  public addUncertainStart(attempt: number, earliestStartAt = -Infinity): void {
    this.lowerEarliestStart(earliestStartAt);
    this.#uncertainStarts += 1;
    this.#attempt = Math.max(this.#attempt, attempt);
  }

  /** Notes the proof that no earlier owner started the request. */
  public clearUncertainStarts(): void {
    this.#uncertainStarts = 0;
  }

  /**
   * Notes whether the journal has the acceptance, or may have it.
   *
   * @param accepted - false once it is proved that the journal does not have it
   */
  public setAccepted(accepted: boolean): void {
    this.#accepted = accepted;
    if (!accepted) this.#isCompletionPending = false;
  }

  /** Notes that the journal certainly has the acceptance. */
  public confirmAcceptance(): void {
    this.#accepted = true;
    this.#durable = true;
  }

  /** Whether the end is hidden until the journal has it. */
  public get isCompletionPending(): boolean {
    return this.#isCompletionPending;
  }

  /** Hides the end from the caller until the journal has it. */
  public markCompletionPending(): void {
    this.#isCompletionPending = true;
  }

  /** Notes that the journal has the end. */
  public confirmCompletion(): void {
    this.#isCompletionPending = false;
  }

  /**
   * Describes the request to its caller.
   *
   * @returns the view; the request shows as `stopping` while the journal does not have its end
   */
  public describe(): RequestView {
    const view = this.describeActual();
    if (!this.#isCompletionPending) return view;
    const { failure, ...rest } = view;
    return { ...rest, state: 'stopping', reason: 'waits until the journal has the end' };
  }

  /**
   * Describes the request as it is, whether or not the journal has its end.
   *
   * @returns the view
   */
  public describeActual(): RequestView {
    if (this.#restoredView !== undefined) return this.#restoredView;
    const { id, team, queue, kind, tasks } = this.request;
    const output = Array.from({ length: tasks }, (_, index) => this.#outputs.get(index) ?? '');
    return {
      id,
      team,
      queue,
      kind,
      state: this.state,
      ran: this.ran,
      attempt: this.#attempt,
      tasks: [...this.#tasks.values()].map((task) => task.describe()),
      size: this.request.size,
      ...(this.isFinished ? {} : { durable: this.#durable }),
      ...(this.#reason === undefined ? {} : { reason: this.#reason }),
      ...(this.#state === 'succeeded' ? { output } : {}),
      ...(this.#failure === undefined ? {} : { failure: this.#failure }),
    };
  }
}
