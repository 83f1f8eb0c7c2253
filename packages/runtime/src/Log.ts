import './enableRoarr.js';
import type { Event } from '@toucanline/schema';
import { ROARR, Roarr, type Logger } from 'roarr';
import { LineOutput } from './LineOutput.js';

const levels = { debug: 20, info: 30, warn: 40, error: 50 } as const;

/** Level of a log line. */
type Level = keyof typeof levels;

/** Events that are logged with level `warn`. */
const warningEvents: ReadonlySet<Event['name']> = new Set([
  'claimLost',
  'leaseLapsed',
  'workerLost',
  'workerQuarantined',
  'storeUnreachable',
]);

/** Standard output, which all logs of the process share. */
const output = new LineOutput();

/** JSON-lines log of a process on standard output. */
export class Log {
  readonly #logger: Logger;
  readonly #threshold: number;
  #bufferedLines: string[] = [];

  /**
   * @param process - name of the process
   * @param level - lowest level that is written
   */
  public constructor(process: string, level: Level) {
    ROARR.write = (line: string): void => {
      this.#buffer(line);
    };
    this.#logger = Roarr.child({ process });
    this.#threshold = levels[level];
  }

  /**
   * Writes a line.
   *
   * @param level - level of the line
   * @param message - one sentence, or the name of an event
   * @param context - additional fields of the line
   */
  public write(
    level: Level,
    message: string,
    context: Readonly<Record<string, string | number>> = {},
  ): void {
    if (levels[level] >= this.#threshold) this.#logger[level]({ ...context }, message);
  }

  /**
   * Writes an event.
   *
   * @param event - the event
   */
  public writeEvent(event: Event): void {
    const { name, stamp: _stamp, process: _process, ...fields } = event;
    const level =
      name === 'invariantViolated' ? 'error' : warningEvents.has(name) ? 'warn' : 'info';
    this.write(level, name, fields);
  }

  /** Writes the buffered lines, for example before the process exits. */
  public flush(): void {
    const dropped = output.takeDroppedCount();
    if (dropped > 0) this.write('warn', 'linesSuppressed', { event: 'any', lines: dropped });
    const lines = this.#bufferedLines;
    this.#bufferedLines = [];
    if (lines.length > 0) output.write(lines);
  }

  /**
   * Buffers a line. All lines of one turn of the event loop are written at once: 5,000 cancellations log 10,000 lines
   * and more.
   */
  #buffer(line: string): void {
    if (this.#bufferedLines.length === 0) {
      setImmediate(() => {
        this.flush();
      });
    }
    this.#bufferedLines.push(line);
  }
}
