import { Contention } from './Contention.js';
import type { QueueSettings } from './QueueSettings.js';
import type { Command } from './Command.js';
import { Preemption } from './Preemption.js';
import { Reservations } from './Reservations.js';

/** What one planning pass has decided so far. */
export class PlanningPass {
  /** Monotonic time of the pass. */
  public readonly now: number;
  /** How much waiting steps depend on the workers. */
  public readonly contention = new Contention();
  /** Room that work with an earlier turn waits for. */
  public readonly reservations = new Reservations();
  /** Running work that gives way. */
  public readonly preemption: Preemption;
  readonly #commands: Command[] = [];

  /**
   * @param now - monotonic time
   * @param terms - terms of the queues
   */
  public constructor(now: number, terms: QueueSettings) {
    this.now = now;
    this.preemption = new Preemption(terms, this.reservations);
  }

  /** Orders given so far; their tasks are placed already. */
  public get commands(): readonly Command[] {
    return this.#commands;
  }

  /** @param order - order to be carried out after the pass */
  public addCommand(order: Command): void {
    this.#commands.push(order);
  }
}
