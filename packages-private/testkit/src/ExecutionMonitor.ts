import { addResources, coversResources, subtractResources, zeroResources } from '@toucanline/core';
import type { Assignment, Resources } from '@toucanline/schema';

/** Time after which a leaving worker must receive no new task, in milliseconds. */
const leavingGraceMs = 3000;

/** A running task, as its worker reports it. */
interface TaskExecution {
  readonly worker: string;
  readonly assignment: Assignment;
}

/** Checks invariants of task execution over all workers, from what the workers themselves record. */
export class ExecutionMonitor {
  readonly #runningTasks = new Map<string, TaskExecution>();
  readonly #startCounts = new Map<string, number>();
  readonly #allocationByTeam = new Map<string, Resources>();
  readonly #leavingSince = new Map<string, number>();
  readonly #violations: string[] = [];
  #limits: ReadonlyMap<string, Resources> = new Map();

  /** Violated invariants, one sentence each. */
  public get violations(): readonly string[] {
    return this.#violations;
  }

  /** Tasks that are running. */
  public get runningTasks(): readonly TaskExecution[] {
    return [...this.#runningTasks.values()];
  }

  /**
   * Sets the limits of teams over all workers.
   *
   * @param limits - resources by team
   */
  public setLimits(limits: ReadonlyMap<string, Resources>): void {
    this.#limits = limits;
  }

  /**
   * Counts the starts of all tasks of a request.
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
   * Returns the resources that the running tasks of a team hold on all workers.
   *
   * @param team - name of the team
   * @returns sum of their declared sizes
   */
  public readAllocation(team: string): Resources {
    return this.#allocationByTeam.get(team) ?? zeroResources;
  }

  /**
   * Records that a worker is leaving.
   *
   * @param worker - name of the worker
   */
  public recordLeaving(worker: string): void {
    this.#leavingSince.set(worker, performance.now());
  }

  /**
   * Records that a worker may receive tasks again.
   *
   * @param worker - name of the worker
   */
  public recordReturned(worker: string): void {
    this.#leavingSince.delete(worker);
  }

  /**
   * Records a start command, and checks that it was not sent to a worker that has been leaving for too long. The
   * worker may still refuse the command.
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
   * Records the start of a task and checks the invariants that it may violate.
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
    const allocation = addResources(this.readAllocation(request.team), request.size);
    this.#allocationByTeam.set(request.team, allocation);
    const limit = this.#limits.get(request.team);
    if (limit !== undefined && !coversResources(limit, allocation)) {
      this.#reportViolation(
        `team ${request.team} exceeds its limit: ${JSON.stringify(allocation)}`,
      );
    }
  }

  /**
   * Records that a task is no longer running.
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
   * Records that a worker was sent more tasks than its capacity admits.
   *
   * @param worker - name of the worker
   * @param detail - resources of the tasks, as JSON
   */
  public recordOverload(worker: string, detail: string): void {
    this.#reportViolation(`worker ${worker} was sent tasks that exceed its capacity: ${detail}`);
  }

  /**
   * Checks that a request that was answered as not run did not run.
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
