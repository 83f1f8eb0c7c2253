import type { RefusalReason } from '@toucanline/schema';
import type { Log } from './Log.js';
import type { Metrics } from './Metrics.js';
import { RefusalReporter } from './RefusalReporter.js';

/** Reports refusals in the log and the metrics of an entry or a scheduler. */
export class ProcessRefusalReporter extends RefusalReporter {
  readonly #log: Log;
  readonly #metrics: Metrics;

  /**
   * @param log - log of the process
   * @param metrics - metrics of the process
   */
  public constructor(log: Log, metrics: Metrics) {
    super();
    this.#log = log;
    this.#metrics = metrics;
  }

  protected override count(_port: string, reason: RefusalReason): void {
    this.#metrics.countRefusal(reason);
  }

  protected override write(port: string, reason: RefusalReason, connections: number): void {
    this.#log.write('warn', 'connections refused', { port, reason, connections });
  }
}
