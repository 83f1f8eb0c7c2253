import type { Assignment, Resources, TaskDelta, TaskReport, TaskState } from '@toucanline/schema';
import { scaleResources } from '@toucanline/core';

/**
 * A simulated task on a fake worker. Its command is a list of steps, separated by semicolons: `sleep MS`,
 * `echo TEXT`, `fail TEXT`, `use FACTOR` (reported usage relative to the declared size) and `serve` (runs until it
 * is stopped).
 */
export class TaskFake {
  public readonly assignment: Assignment;
  readonly #speed: number;
  readonly #onChange: () => void;
  #state: TaskState = 'running';
  #output = '';
  #detail: string | undefined;
  #usageFactor = 1;
  #timer: NodeJS.Timeout | undefined;
  #sequence = 0;
  #cancelled = false;

  /**
   * @param assignment - the task and its request
   * @param speed - speed of the worker relative to 1, by which sleeps are divided
   * @param onChange - called after each change of state or usage
   */
  public constructor(assignment: Assignment, speed: number, onChange: () => void) {
    this.assignment = assignment;
    this.#speed = speed;
    this.#onChange = onChange;
  }

  /** Current state. */
  public get state(): TaskState {
    return this.#state;
  }

  /** Sequence number of the last change. */
  public get sequence(): number {
    return this.#sequence;
  }

  /** Resources that the task uses. */
  public get usage(): Resources {
    return scaleResources(this.assignment.request.size, this.#usageFactor);
  }

  /** Executes the steps of the command. */
  public run(): void {
    this.#runSteps(this.assignment.request.command.split(';').map((step) => step.trim()));
  }

  /**
   * Ends the task, unless it has ended already.
   *
   * @param state - final state
   * @param detail - reason of the end
   */
  public end(state: TaskState, detail?: string): void {
    if (this.#state !== 'running') return;
    clearTimeout(this.#timer);
    this.#state = state;
    this.#detail = detail;
    this.#onChange();
  }

  /** Marks the request of the task as cancelled, even if the task has ended. */
  public markCancelled(): void {
    this.#cancelled = true;
  }

  /** Reduces the usage to the declared size. */
  public throttle(): void {
    this.#usageFactor = Math.min(1, this.#usageFactor);
    this.#onChange();
  }

  /**
   * Sets the sequence number of the last change.
   *
   * @param sequence - sequence number of the worker
   */
  public setSequence(sequence: number): void {
    this.#sequence = sequence;
  }

  /**
   * Creates the changed part of a report.
   *
   * @returns state, usage, and output or detail
   */
  public createDelta(): TaskDelta {
    return {
      taskId: this.assignment.taskId,
      state: this.#state,
      usage: this.usage,
      ...(this.#state === 'succeeded' ? { output: this.#output } : {}),
      ...(this.#detail === undefined ? {} : { detail: this.#detail }),
      ...(this.#cancelled ? { cancelled: true } : {}),
    };
  }

  /**
   * Creates a complete report.
   *
   * @returns the assignment and the state of the task
   */
  public createReport(): TaskReport {
    const { taskId: _taskId, ...delta } = this.createDelta();
    return { assignment: this.assignment, ...delta };
  }

  #runSteps(steps: readonly string[]): void {
    const [step, ...rest] = steps;
    if (this.#state !== 'running') return;
    if (step === undefined) {
      this.end('succeeded');
      return;
    }
    const [verb = '', ...words] = step.split(' ');
    const argument = words.join(' ');
    if (verb === 'serve') return;
    if (verb === 'fail') this.end('failed', argument);
    else if (verb === 'sleep') {
      this.#timer = setTimeout(
        () => {
          this.#runSteps(rest);
        },
        Number(argument) / this.#speed,
      );
    } else {
      if (verb === 'echo') this.#output += argument;
      if (verb === 'use') this.#usageFactor = Number(argument);
      if (verb === 'use') this.#onChange();
      this.#runSteps(rest);
    }
  }
}
