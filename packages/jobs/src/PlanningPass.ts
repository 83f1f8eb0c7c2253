import { Contention } from './Contention.js';
import type { QueueSettings } from './QueueSettings.js';
import type { Command } from './Command.js';
import { Preemption } from './Preemption.js';
import { Reservations } from './Reservations.js';

/** State of one planning pass: the decisions made so far. */
export class PlanningPass {
  /** Monotonic time of the pass, in milliseconds. */
  public readonly now: number;
  /** Contention of pending steps for each worker. */
  public readonly contention = new Contention();
  /** Capacity reserved for steps that are served earlier. */
  public readonly reservations = new Reservations();
  /** Running tasks to stop in favour of more urgent work. */
  public readonly preemption: Preemption;
  readonly #commands: Command[] = [];

  /**
   * @param now - monotonic time in milliseconds
   * @param queues - settings of the queues
   */
  public constructor(now: number, queues: QueueSettings) {
    this.now = now;
    this.preemption = new Preemption(queues, this.reservations);
  }

  /** Commands added so far; tasks to be started are already placed. */
  public get commands(): readonly Command[] {
    return this.#commands;
  }

  /**
   * Adds a command.
   *
   * @param command - command to be carried out after the pass
   */
  public addCommand(command: Command): void {
    this.#commands.push(command);
  }
}
