import type { Assignment, Resources, TaskDelta, TaskReport, TaskState } from '@toucanline/schema';
import { scaleResources } from '@toucanline/core';

/**
 * One task on a worker of the testkit. Its command is a list of steps, separated by semicolons:
 * `sleep MS`, `echo TEXT`, `fail TEXT`, `use FACTOR` (reported use relative to the declared size) and
 * `serve` (runs until it is stopped).
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
   * @param assignment - the task
   * @param speed - relative speed of the worker
   * @param onChange - called after each change of state or use
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

  /** Report that the last change belongs to. */
  public get sequence(): number {
    return this.#sequence;
  }

  /** Use of resources. */
  public get usage(): Resources {
    return scaleResources(this.assignment.request.size, this.#usageFactor);
  }

  /** Starts the steps of the command. */
  public run(): void {
    this.#runSteps(this.assignment.request.command.split(';').map((step) => step.trim()));
  }

  /**
   * Ends the task.
   *
   * @param state - final state
   * @param detail - why it ended
   */
  public end(state: TaskState, detail?: string): void {
    if (this.#state !== 'running') return;
    clearTimeout(this.#timer);
    this.#state = state;
    this.#detail = detail;
    this.#onChange();
  }

  /** Notes that the request of the task was cancelled, also when the task has ended. */
  public markCancelled(): void {
    this.#cancelled = true;
  }

  /** Reduces the use of resources to the declared size. */
  public throttle(): void {
    this.#usageFactor = Math.min(1, this.#usageFactor);
    this.#onChange();
  }

  /**
   * Notes the report that the last change belongs to.
   *
   * @param sequence - sequence number
   */
  public setSequence(sequence: number): void {
    this.#sequence = sequence;
  }

  /**
   * Describes a change.
   *
   * @returns the change
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
   * Describes the whole task.
   *
   * @returns the report
   */
  public createReport(): TaskReport {
    const { taskId: _taskId, ...change } = this.createDelta();
    return { assignment: this.assignment, ...change };
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
