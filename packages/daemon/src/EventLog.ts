import { Log } from '@toucanline/runtime/Log';
import type { HostEvents } from '@toucanline/schema';
import type { HostMetrics } from './HostMetrics.js';

/** Lines of one event name that are written within a second; the rest is counted. */
const maxLinesPerSecond = 100;

/** Structured log of decisions with a bounded rate for each event name. */
export class EventLog {
  readonly #log: Log;
  readonly #metrics: HostMetrics;
  readonly #lineCounts = new Map<string, number>();
  #currentSecond = 0;

  /**
   * @param process - name of the process
   * @param metrics - counts the events
   */
  public constructor(process: string, metrics: HostMetrics) {
    this.#metrics = metrics;
    this.#log = new Log(process, 'info');
  }

  /**
   * Writes a line.
   *
   * @param event - name of the event
   * @param fields - inputs, their age or version, and the outcome, as the schema lists them
   */
  public write<Name extends keyof HostEvents>(event: Name, fields: HostEvents[Name]): void {
    this.#metrics.countEvent(event);
    const second = Math.floor(performance.now() / 1000);
    if (second !== this.#currentSecond) this.#startSecond(second);
    const count = (this.#lineCounts.get(event) ?? 0) + 1;
    this.#lineCounts.set(event, count);
    if (count <= maxLinesPerSecond) this.#log.write('info', event, fields);
  }

  /** Writes what is buffered, before the process ends. */
  public flush(): void {
    this.#startSecond(0);
    this.#log.flush();
  }

  #startSecond(second: number): void {
    this.#currentSecond = second;
    for (const [event, count] of this.#lineCounts) {
      if (count > maxLinesPerSecond) {
        this.#log.write('warn', 'linesSuppressed', { event, lines: count - maxLinesPerSecond });
      }
    }
    this.#lineCounts.clear();
  }
}
