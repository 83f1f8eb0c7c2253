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
  /** Monotonic time of the arrival, in milliseconds. */
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
   * @param arrivedAt - monotonic time of the arrival, in milliseconds
   * @param deadlineAt - monotonic time of the deadline, in milliseconds
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

  /**
   * Whether the acceptance is or may be in the journal, so that a new owner would continue the
   * request.
   */
  public get isAccepted(): boolean {
    return this.#accepted;
  }

  /** Whether the acceptance is confirmed to be in the journal. */
  public get isDurable(): boolean {
    return this.#durable;
  }

  /**
   * Monotonic time before which no previous owner can have started the request, in milliseconds.
   */
  public get earliestStartAt(): number {
    return this.#earliestStartAt;
  }

  /** Current state; `stopping` while tasks that are to be stopped may still be active. */
  public get state(): RequestState {
    return this.#stopPlan === undefined || this.isFinished ? this.#state : 'stopping';
  }

  /** Whether the state cannot change any more. */
  public get isFinished(): boolean {
    return finalStates.has(this.#state);
  }

  /** Monotonic time of the deadline, in milliseconds. */
  public get deadlineAt(): number {
    return this.#deadlineAt;
  }

  /** Earliest monotonic time of the next start, in milliseconds. */
  public get notBefore(): number {
    return this.#notBefore;
  }

  /** Monotonic time of the end, in milliseconds. */
  public get finishedAt(): number | undefined {
    return this.#finishedAt;
  }

  /** Number of restarts that were charged to the retry budget. */
  public get retries(): number {
    return this.#retries;
  }

  /** What happens once all tasks have stopped; undefined unless the request is being stopped. */
  public get stopPlan(): StopPlan | undefined {
    return this.#stopPlan;
  }

  /** Whether the request ran, as far as this owner knows. */
  public get ran(): Ran {
    if (this.#ran === 'no' && this.#uncertainStarts > 0) return 'unknown';
    return this.#ran;
  }

  /** Number of starts so far. */
  public get attempt(): number {
    return this.#attempt;
  }

  /** Whether there is a start of which it is unknown whether it happened. */
  public get hasUncertainStart(): boolean {
    return this.#uncertainStarts > 0;
  }

  /** Current attempt of each task that was placed. */
  public get tasks(): readonly TaskRecord[] {
    return [...this.#tasks.values()];
  }

  /** Attempts that may use capacity of a worker. */
  public get activeTasks(): readonly TaskRecord[] {
    return [...this.#tasks.values()].filter((task) => task.isActive);
  }

  /** Workers on which a task of the request failed; retries prefer others. */
  public get avoidedWorkers(): ReadonlySet<string> {
    return this.#avoidedWorkers;
  }

  /** Indexes of tasks that have not succeeded and use no capacity of a worker. */
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
   * Records that a task failed on a worker.
   *
   * @param worker - name of the worker
   */
  public avoidWorker(worker: string): void {
    this.#avoidedWorkers.add(worker);
  }

  /**
   * Replaces the deadline, for example when an entry resubmits an adopted request.
   *
   * @param deadlineAt - monotonic time in milliseconds
   */
  public setDeadline(deadlineAt: number): void {
    this.#deadlineAt = deadlineAt;
  }

  /**
   * Records why the request waits.
   *
   * @param reason - explanation for the caller, one sentence
   */
  public setReason(reason: string): void {
    this.#reason = reason;
  }

  /**
   * Sets the stop plan while all tasks are stopped. A plan that is already set is kept, unless it
   * is to requeue the request.
   *
   * @param plan - what happens once all tasks have stopped
   */
  public beginStop(plan: StopPlan): void {
    if (this.#stopPlan === undefined || this.#stopPlan.next === 'requeue') this.#stopPlan = plan;
  }

  /**
   * Adds the current attempt of a task. The start is uncertain until {@link
   * RequestRecord.confirmStart} or {@link RequestRecord.markNotStarted}.
   *
   * @param task - attempt of the task
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
   * @returns the attempt; undefined if the task was not placed
   */
  public findTask(index: number): TaskRecord | undefined {
    return this.#tasks.get(index);
  }

  /**
   * Records that a worker started a task.
   *
   * @param task - attempt of the task
   * @param now - monotonic time in milliseconds
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
   * Records that a task is known not to have started.
   *
   * @param task - attempt of the task
   */
  public markNotStarted(task: TaskRecord): void {
    if (task.isConfirmed) return;
    this.#uncertainStarts -= 1;
    task.setState('stopped');
  }

  /**
   * Records the success of a task.
   *
   * @param index - index of the task
   * @param output - output of the task
   */
  public completeTask(index: number, output: string): void {
    this.#completedIndexes.add(index);
    this.#outputs.set(index, output);
  }

  /** Removes all tasks. Tasks that are still active then belong to no request. */
  public clearTasks(): void {
    this.#tasks.clear();
  }

  /** Removes the outcomes of completed tasks, because a gang restarts as a whole. */
  public resetCompletedTasks(): void {
    this.#completedIndexes.clear();
    this.#outputs.clear();
  }

  /**
   * Returns the request to the waiting state.
   *
   * @param notBefore - earliest monotonic time of the next start, in milliseconds
   * @param isCharged - whether the start counts against the retry budget
   */
  public requeue(notBefore: number, isCharged: boolean): void {
    this.#stopPlan = undefined;
    this.#state = 'waiting';
    this.#notBefore = notBefore;
    if (isCharged) this.#retries += 1;
  }

  /**
   * Finishes the request.
   *
   * @param state - final state
   * @param now - monotonic time in milliseconds
   * @param failure - reason; undefined if the request succeeded
   */
  public finish(state: RequestState, now: number, failure?: Failure): void {
    this.#state = state;
    this.#finishedAt = now;
    this.#failure = failure;
    this.#reason = undefined;
  }

  /**
   * Drops the command of a finished request, which stays readable for the retention period. After
   * the completion the command is only needed by an acceptance that is written to the journal
   * together with the completion.
   */
  public dropCommand(): void {
    if (!this.isFinished || this.#request.command === '') return;
    this.#request = { ...this.#request, command: '' };
    for (const task of this.#tasks.values()) task.setRequest(this.#request);
  }

  /**
   * Restores a finished request from the journal or from a snapshot.
   *
   * @param view - view of the request in its final state
   * @param now - monotonic time in milliseconds
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
   * Restores the counters of a previous owner; counters that are already higher are kept.
   *
   * @param attempt - highest known attempt
   * @param retries - number of restarts that were charged to the retry budget
   */
  public restoreCounters(attempt: number, retries: number): void {
    this.#attempt = Math.max(this.#attempt, attempt);
    this.#retries = Math.max(this.#retries, retries);
  }

  /**
   * Reads the output of a task.
   *
   * @param index - index of the task
   * @returns the output; undefined unless the task succeeded
   */
  public readOutput(index: number): string | undefined {
    return this.#outputs.get(index);
  }

  /**
   * Lowers the time since which a previous owner may have started tasks of the request.
   *
   * @param earliestStartAt - monotonic time before which no previous owner can have done so, in
   * milliseconds
   */
  public lowerEarliestStart(earliestStartAt: number): void {
    this.#earliestStartAt = Math.min(this.#earliestStartAt, earliestStartAt);
  }

  /**
   * Records that a previous owner may have started the request.
   *
   * @param attempt - highest known attempt
   * @param earliestStartAt - monotonic time before which no previous owner can have done so, in
   * milliseconds
   */
  public addUncertainStart(attempt: number, earliestStartAt = -Infinity): void {
    this.lowerEarliestStart(earliestStartAt);
    this.#uncertainStarts += 1;
    this.#attempt = Math.max(this.#attempt, attempt);
  }

  /** Records that no previous owner started the request. */
  public clearUncertainStarts(): void {
    this.#uncertainStarts = 0;
  }

  /**
   * Records whether the acceptance is or may be in the journal.
   *
   * @param isAccepted - false once the acceptance is known not to be in the journal
   */
  public setAccepted(isAccepted: boolean): void {
    this.#accepted = isAccepted;
    if (!isAccepted) this.#isCompletionPending = false;
  }

  /** Records that the acceptance is confirmed to be in the journal. */
  public confirmAcceptance(): void {
    this.#accepted = true;
    this.#durable = true;
  }

  /** Whether the completion is hidden from the caller until it is in the journal. */
  public get isCompletionPending(): boolean {
    return this.#isCompletionPending;
  }

  /** Hides the completion from the caller until it is in the journal. */
  public markCompletionPending(): void {
    this.#isCompletionPending = true;
  }

  /** Records that the completion is in the journal. */
  public confirmCompletion(): void {
    this.#isCompletionPending = false;
  }

  /**
   * Describes the request to its caller.
   *
   * @returns the view; its state is `stopping` until the completion is in the journal
   */
  public describe(): RequestView {
    const view = this.describeActual();
    if (!this.#isCompletionPending) return view;
    const { failure, ...rest } = view;
    return { ...rest, state: 'stopping', reason: 'waits until its completion is in the journal' };
  }

  /**
   * Describes the actual state of the request, whether or not its completion is in the journal.
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
