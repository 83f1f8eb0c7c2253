import { Log } from '@toucanline/runtime/Log';
import type { HostEvents } from '@toucanline/schema';
import type { HostMetrics } from './HostMetrics.js';

/** Maximum number of lines written per second for one event name; further lines are only counted. */
const maxLinesPerSecond = 100;

/** Longest text of an unexpected error, in characters: the first frames of its stack name the place. */
const maxErrorLength = 600;

/** Structured event log with a rate limit for each event name. */
export class EventLog {
  readonly #log: Log;
  readonly #metrics: HostMetrics;
  readonly #lineCounts = new Map<string, number>();
  #currentSecond = 0;

  /**
   * @param process - name of this process
   * @param metrics - metrics that count the events
   */
  public constructor(process: string, metrics: HostMetrics) {
    this.#metrics = metrics;
    this.#log = new Log(process, 'info');
  }

  /**
   * Writes an event, unless the rate limit of its name is reached.
   *
   * @param event - event name
   * @param fields - fields of the event as the schema defines them: inputs, their age or version, and the outcome
   */
  public write<Name extends keyof HostEvents>(event: Name, fields: HostEvents[Name]): void {
    this.#metrics.countEvent(event);
    const second = Math.floor(performance.now() / 1000);
    if (second !== this.#currentSecond) this.#startSecond(second);
    const count = (this.#lineCounts.get(event) ?? 0) + 1;
    this.#lineCounts.set(event, count);
    if (count <= maxLinesPerSecond) this.#log.write('info', event, fields);
  }

  /**
   * Writes an unexpected error.
   *
   * @param part - part of the process in which it was thrown
   * @param error - value that was thrown
   */
  public writeError(part: string, error: unknown): void {
    const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.write('unexpectedError', { part, detail: detail.slice(0, maxErrorLength) });
  }

  /** Logs how many lines were suppressed and writes buffered output, before the process exits. */
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
