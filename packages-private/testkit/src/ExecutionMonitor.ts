import { addResources, coversResources, subtractResources, zeroResources } from '@toucanline/core';
import type { Assignment, Resources } from '@toucanline/schema';

/** Time after which a leaving worker must get nothing new, in milliseconds. */
const leavingGraceMs = 3000;

/** A running task as the workers see it. */
interface TaskExecution {
  readonly worker: string;
  readonly assignment: Assignment;
}

/** Checks the promises over all workers, from what the workers themselves see. */
export class ExecutionMonitor {
  readonly #runningTasks = new Map<string, TaskExecution>();
  readonly #startCounts = new Map<string, number>();
  readonly #allocationByTeam = new Map<string, Resources>();
  readonly #leavingSince = new Map<string, number>();
  readonly #violations: string[] = [];
  #limits: ReadonlyMap<string, Resources> = new Map();

  /** Broken promises, one sentence each. */
  public get violations(): readonly string[] {
    return this.#violations;
  }

  /** Tasks that run now. */
  public get runningTasks(): readonly TaskExecution[] {
    return [...this.#runningTasks.values()];
  }

  /**
   * Sets the limit of each team over the whole fleet.
   *
   * @param limits - limit per team
   */
  public setLimits(limits: ReadonlyMap<string, Resources>): void {
    this.#limits = limits;
  }

  /**
   * Counts how often tasks of a request started.
   *
   * @param requestId - identifier of the request
   * @returns number of starts
   */
  public countStarts(requestId: string): number {
    let count = 0;
    for (const [name, starts] of this.#startCounts)
      if (name.startsWith(`${requestId}/`)) count += starts;
    return count;
  }

  /**
   * Reads the running work of a team over all workers.
   *
   * @param team - name of the team
   * @returns its declared size
   */
  public readAllocation(team: string): Resources {
    return this.#allocationByTeam.get(team) ?? zeroResources;
  }

  /**
   * Notes that a worker is leaving.
   *
   * @param worker - name of the worker
   */
  public recordLeaving(worker: string): void {
    this.#leavingSince.set(worker, performance.now());
  }

  /**
   * Notes that a worker may take work again.
   *
   * @param worker - name of the worker
   */
  public recordReturned(worker: string): void {
    this.#leavingSince.delete(worker);
  }

  /**
   * Notes a start command, which a worker that is leaving may still refuse.
   *
   * @param worker - name of the worker
   * @param assignment - the task
   */
  public recordStartCommand(worker: string, { taskId }: Assignment): void {
    const leavingSince = this.#leavingSince.get(worker);
    if (leavingSince !== undefined && performance.now() - leavingSince > leavingGraceMs) {
      this.#reportViolation(`${taskId} was sent to leaving worker ${worker}`);
    }
  }

  /**
   * Notes a start and checks the promises that it may break.
   *
   * @param worker - name of the worker
   * @param assignment - the task
   */
  public recordStart(worker: string, assignment: Assignment): void {
    const { request, index } = assignment;
    const name = `${request.id}/${index}`;
    const other = this.#runningTasks.get(name);
    if (other !== undefined) this.#reportViolation(`${name} runs on ${other.worker} and ${worker}`);
    const starts = (this.#startCounts.get(name) ?? 0) + 1;
    this.#startCounts.set(name, starts);
    if (starts > 1 && !request.idempotent)
      this.#reportViolation(`${name} is not idempotent and started twice`);
    this.#runningTasks.set(name, { worker, assignment });
    const use = addResources(this.readAllocation(request.team), request.size);
    this.#allocationByTeam.set(request.team, use);
    const limit = this.#limits.get(request.team);
    if (limit !== undefined && !coversResources(limit, use)) {
      this.#reportViolation(
        `team ${request.team} runs more than its limit: ${JSON.stringify(use)}`,
      );
    }
  }

  /**
   * Notes that a task does not run any more.
   *
   * @param worker - name of the worker
   * @param assignment - the task
   */
  public recordEnd(worker: string, assignment: Assignment): void {
    const { request, index } = assignment;
    const name = `${request.id}/${index}`;
    if (this.#runningTasks.get(name)?.worker === worker) this.#runningTasks.delete(name);
    this.#allocationByTeam.set(
      request.team,
      subtractResources(this.readAllocation(request.team), request.size),
    );
  }

  /**
   * Notes that a worker got more than it has room for.
   *
   * @param worker - name of the worker
   * @param detail - what happened
   */
  public recordOverload(worker: string, detail: string): void {
    this.#reportViolation(`worker ${worker} was given more than its room: ${detail}`);
  }

  /**
   * Checks that a request, which was answered as not run, did not run.
   *
   * @param requestId - identifier of the request
   */
  public checkNotRun(requestId: string): void {
    if (this.countStarts(requestId) > 0)
      this.#reportViolation(`${requestId} was answered as not run but ran`);
  }

  #reportViolation(detail: string): void {
    this.#violations.push(detail);
  }
}
