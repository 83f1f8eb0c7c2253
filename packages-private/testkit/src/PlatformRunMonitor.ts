/** Worker that executes runs. */
interface RunningWorker {
  readonly id: string;
  /** Ends the runs that are complete and those whose lease has expired. */
  endDueRuns(): void;
}

/** Checks over all workers that each task has one active run at a time and none after its completion is known. */
export class PlatformRunMonitor {
  readonly #activeWorkers = new Map<string, RunningWorker>();
  readonly #acknowledgedTasks = new Set<string>();
  readonly #startedJobs = new Set<string>();
  /** What happened to each task, for the description of a violation. */
  readonly #histories = new Map<string, readonly string[]>();
  readonly #violations: string[] = [];
  #runCount = 0;

  /** Violated invariants, one sentence each. */
  public get violations(): readonly string[] {
    return this.#violations;
  }

  /** Number of runs that were started. */
  public get runCount(): number {
    return this.#runCount;
  }

  /**
   * Records the start of a run.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param worker - worker that executes it
   */
  public startRun(task: string, run: number, worker: RunningWorker): void {
    // The timer that ends the runs of the other worker may be late in a busy process.
    this.#activeWorkers.get(task)?.endDueRuns();
    const other = this.#activeWorkers.get(task);
    if (other !== undefined) {
      this.#addViolation(task, `run ${run} starts on ${worker.id} while ${other.id} runs it`);
    }
    if (this.#acknowledgedTasks.has(task)) {
      this.#addViolation(
        task,
        `run ${run} starts on ${worker.id} after an acknowledged completion`,
      );
    }
    this.#record(task, `run ${run} starts on ${worker.id}`);
    this.#activeWorkers.set(task, worker);
    this.#startedJobs.add(task.split('.')[0] ?? '');
    this.#runCount += 1;
  }

  /**
   * Records the end of a run, also by a restart of its worker.
   *
   * @param task - name of the task
   * @param worker - worker that executed it
   * @param outcome - how it ended
   */
  public endRun(task: string, worker: RunningWorker, outcome: string): void {
    this.#record(task, `${outcome} on ${worker.id}`);
    if (this.#activeWorkers.get(task) === worker) this.#activeWorkers.delete(task);
  }

  /**
   * Records that the end of a run that ended as done was acknowledged.
   *
   * @param task - name of the task
   */
  public acknowledgeCompletion(task: string): void {
    this.#record(task, 'completion acknowledged');
    this.#acknowledgedTasks.add(task);
  }

  /**
   * Reads whether a task of a job was started.
   *
   * @param job - id of the job
   * @returns whether a run of one of its tasks was started
   */
  public hasStarted(job: string): boolean {
    return this.#startedJobs.has(job);
  }

  #record(task: string, event: string): void {
    const line = `${new Date().toISOString()} ${event}`;
    this.#histories.set(task, [...(this.#histories.get(task) ?? []), line]);
  }

  #addViolation(task: string, description: string): void {
    const history = this.#histories.get(task) ?? [];
    this.#violations.push(`task ${task}: ${[...history, description].join('; ')}`);
  }
}
