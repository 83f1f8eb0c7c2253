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
  /** Local monotonic time of the placement, in milliseconds. */
  public readonly placedAt: number;
  #assignment: Assignment;
  #state: TaskState = 'starting';
  #usage: Resources;
  /** Growth between the last two reports. */
  #usageGrowth = zeroResources;
  #hasReported = false;
  #confirmedAt: number | undefined;
  #latestStartAt = Infinity;

  /**
   * @param assignment - the task
   * @param worker - worker that runs it
   * @param dataCentre - data centre of the worker
   * @param placedAt - local monotonic time of the placement
   */
  public constructor(assignment: Assignment, worker: string, dataCentre: string, placedAt: number) {
    this.#assignment = assignment;
    this.worker = worker;
    this.dataCentre = dataCentre;
    this.placedAt = placedAt;
    this.#usage = assignment.request.size;
  }

  /** The task as the worker got it; after the end of its request without the command. */
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

  /** Local monotonic time of the confirmation, in milliseconds; infinite before it. */
  public get confirmedAt(): number {
    return this.#confirmedAt ?? Infinity;
  }

  /** Whether the task may occupy its worker. */
  public get isActive(): boolean {
    return activeStates.has(this.#state);
  }

  /** What the task counts for: the larger of declared and reported use. */
  public get charge(): Resources {
    return maxResources(this.assignment.request.size, this.#usage);
  }

  /**
   * What new work has to leave beside the charge. Reports lag, so a task that grew since the report
   * before may grow as much again until the next one.
   */
  public get growthMargin(): Resources {
    const { size } = this.assignment.request;
    return subtractResources(
      addResources(this.#usage, this.#usageGrowth),
      maxResources(size, this.#usage),
    );
  }

  /** Use in the worker's last report; the declared size before. */
  public get usage(): Resources {
    return this.#usage;
  }

  /** Whether the reported use exceeds the declared size. */
  public get hasExceededSize(): boolean {
    return !coversResources(this.assignment.request.size, this.#usage);
  }

  /**
   * Replaces the request by one without its command, which an ended task does not need.
   *
   * @param request - the request
   */
  public setRequest(request: Request): void {
    this.#assignment = { ...this.#assignment, request };
  }

  /**
   * Changes the state.
   *
   * @param state - new state
   */
  public setState(state: TaskState): void {
    this.#state = state;
  }

  /**
   * Notes that the start command is about to be sent.
   *
   * @param latestStartAt - time on the worker's clock after which it rejects the start
   */
  public setLatestStart(latestStartAt: number): void {
    this.#latestStartAt = latestStartAt;
  }

  /**
   * Notes that the worker started the task.
   *
   * @param now - local monotonic time in milliseconds
   */
  public confirm(now: number): void {
    this.#confirmedAt ??= now;
    if (this.#state === 'starting') this.#state = 'running';
  }

  /**
   * Notes the reported use.
   *
   * @param usage - use in the worker's last report
   */
  public setUsage(usage: Resources): void {
    this.#usageGrowth = this.#hasReported ? subtractResources(usage, this.#usage) : zeroResources;
    this.#hasReported = true;
    this.#usage = usage;
  }

  /** Notes a report in which the use did not change. */
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
