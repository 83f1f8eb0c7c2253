import type { Assignment, Request, Resources, TaskState, TaskView } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { coversResources } from './coversResources.js';
import { maxResources } from './maxResources.js';
import { subtractResources } from './subtractResources.js';
import { zeroResources } from './zeroResources.js';

const activeStates: ReadonlySet<TaskState> = new Set(['starting', 'running', 'stopping']);

/** One attempt of one task on one worker, as the shard owner knows it. */
export class TaskRecord {
  public readonly worker: string;
  public readonly dataCentre: string;
  /** Monotonic time of the placement, in milliseconds. */
  public readonly placedAt: number;
  #assignment: Assignment;
  #state: TaskState = 'starting';
  #usage: Resources;
  /** Growth of the use between the last two reports. */
  #usageGrowth = zeroResources;
  #hasReported = false;
  #confirmedAt: number | undefined;
  #latestStartAt = Infinity;

  /**
   * @param assignment - the task
   * @param worker - worker that runs it
   * @param dataCentre - data centre of the worker
   * @param placedAt - monotonic time of the placement, in milliseconds
   */
  public constructor(assignment: Assignment, worker: string, dataCentre: string, placedAt: number) {
    this.#assignment = assignment;
    this.worker = worker;
    this.dataCentre = dataCentre;
    this.placedAt = placedAt;
    this.#usage = assignment.request.size;
  }

  /** The task as it was sent to the worker; without the command once its request has finished. */
  public get assignment(): Assignment {
    return this.#assignment;
  }

  /** Identifier of the attempt. */
  public get id(): string {
    return this.assignment.taskId;
  }

  /**
   * Time on the worker's clock after which the worker rejects the start, in milliseconds. Infinite
   * until the start command is sent.
   */
  public get latestStartAt(): number {
    return this.#latestStartAt;
  }

  /** Current state. */
  public get state(): TaskState {
    return this.#state;
  }

  /** Whether the worker confirmed that it started the task. */
  public get isConfirmed(): boolean {
    return this.#confirmedAt !== undefined;
  }

  /** Monotonic time at which the start was confirmed, in milliseconds; infinite before. */
  public get confirmedAt(): number {
    return this.#confirmedAt ?? Infinity;
  }

  /** Whether the task may use capacity of its worker. */
  public get isActive(): boolean {
    return activeStates.has(this.#state);
  }

  /**
   * Resources that are charged for the task: the larger of its declared size and its reported use.
   */
  public get charge(): Resources {
    return maxResources(this.assignment.request.size, this.#usage);
  }

  /**
   * Resources that new work has to leave free in addition to the charge. Reports lag behind, so a
   * task whose use grew between the last two reports may grow as much again before the next one.
   */
  public get growthMargin(): Resources {
    const { size } = this.assignment.request;
    return subtractResources(
      addResources(this.#usage, this.#usageGrowth),
      maxResources(size, this.#usage),
    );
  }

  /** Use in the last report of the worker; the declared size before the first report. */
  public get usage(): Resources {
    return this.#usage;
  }

  /** Whether the reported use exceeds the declared size. */
  public get hasExceededSize(): boolean {
    return !coversResources(this.assignment.request.size, this.#usage);
  }

  /**
   * Replaces the request, for example by one without its command, which an ended task does not
   * need.
   *
   * @param request - the request
   */
  public setRequest(request: Request): void {
    this.#assignment = { ...this.#assignment, request };
  }

  /**
   * Sets the state.
   *
   * @param state - new state
   */
  public setState(state: TaskState): void {
    this.#state = state;
  }

  /**
   * Records that the start command is about to be sent.
   *
   * @param latestStartAt - time on the clock of the worker after which it rejects the start, in
   * milliseconds
   */
  public setLatestStart(latestStartAt: number): void {
    this.#latestStartAt = latestStartAt;
  }

  /**
   * Records that the worker started the task.
   *
   * @param now - monotonic time in milliseconds
   */
  public confirm(now: number): void {
    this.#confirmedAt ??= now;
    if (this.#state === 'starting') this.#state = 'running';
  }

  /**
   * Records the use that the worker reported.
   *
   * @param usage - use in the worker's last report
   */
  public setUsage(usage: Resources): void {
    this.#usageGrowth = this.#hasReported ? subtractResources(usage, this.#usage) : zeroResources;
    this.#hasReported = true;
    this.#usage = usage;
  }

  /** Records a report without a change of the use, so that no further growth is expected. */
  public clearGrowth(): void {
    this.#usageGrowth = zeroResources;
  }

  /**
   * Describes the task to callers.
   *
   * @returns the view
   */
  public describe(): TaskView {
    return { id: this.id, worker: this.worker, dataCentre: this.dataCentre, state: this.#state };
  }
}
