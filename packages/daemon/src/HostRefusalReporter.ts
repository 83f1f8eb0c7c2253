import { RefusalReporter } from '@toucanline/runtime/RefusalReporter';
import type { RefusalReason } from '@toucanline/schema';
import type { EventLog } from './EventLog.js';
import type { HostMetrics } from './HostMetrics.js';

/** Reports refusals in the event log and the metrics of a host. */
export class HostRefusalReporter extends RefusalReporter {
  readonly #log: EventLog;
  readonly #metrics: HostMetrics;

  /**
   * @param log - event log of the host
   * @param metrics - metrics of the host
   */
  public constructor(log: EventLog, metrics: HostMetrics) {
    super();
    this.#log = log;
    this.#metrics = metrics;
  }

  protected override count(port: string, reason: RefusalReason): void {
    this.#metrics.countRefusal(port, reason);
  }

  protected override write(port: string, reason: RefusalReason, connections: number): void {
    this.#log.write('connectionsRefused', { port, reason, connections });
  }
}
