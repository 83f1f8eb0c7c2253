import type { RefusalReason } from '@toucanline/schema';
import { Counter, Histogram, Registry } from 'prom-client';

/** Upper bounds of the buckets, in seconds: accepting a job takes a store call of 4 ms, callers wait 3 s at most. */
const durationBucketsSeconds = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Counters and latency histograms of a host process, rendered in the Prometheus text format. */
export class HostMetrics {
  readonly #registry = new Registry();
  readonly #events: Counter<'event'>;
  readonly #calls: Histogram<'method' | 'status'>;
  readonly #starts: Histogram;
  readonly #refusals: Counter<'port' | 'reason'>;

  public constructor() {
    const registers = [this.#registry];
    this.#events = new Counter({
      name: 'toucanline_events_total',
      help: 'Log events by name, suppressed lines included.',
      labelNames: ['event'],
      registers,
    });
    this.#calls = new Histogram({
      name: 'toucanline_call_seconds',
      help: 'Duration of calls of callers by method and status.',
      labelNames: ['method', 'status'],
      buckets: durationBucketsSeconds,
      registers,
    });
    this.#refusals = new Counter({
      name: 'toucanline_refused_connections_total',
      help: 'Connections and requests that were refused or closed because of a limit.',
      labelNames: ['port', 'reason'],
      registers,
    });
    this.#starts = new Histogram({
      name: 'toucanline_start_seconds',
      help: 'Time from a start order to the answer of the worker.',
      buckets: durationBucketsSeconds,
      registers,
    });
  }

  /** Media type of the rendered text. */
  public get contentType(): string {
    return this.#registry.contentType;
  }

  /**
   * Counts a log event.
   *
   * @param event - event name
   */
  public countEvent(event: string): void {
    this.#events.inc({ event });
  }

  /**
   * Records the duration of a call.
   *
   * @param method - HTTP method
   * @param status - HTTP status of the response
   * @param durationMs - time until the response, in milliseconds
   */
  public observeCall(method: string, status: number, durationMs: number): void {
    this.#calls.observe({ method, status: String(status) }, durationMs / 1000);
  }

  /**
   * Records the duration of a start command.
   *
   * @param durationMs - time until the worker's answer, in milliseconds
   */
  public observeStart(durationMs: number): void {
    this.#starts.observe(durationMs / 1000);
  }

  /**
   * Counts a connection or request that was refused or closed because of a limit.
   *
   * @param port - name of the port
   * @param reason - reason for the refusal
   */
  public countRefusal(port: string, reason: RefusalReason): void {
    this.#refusals.inc({ port, reason });
  }

  /**
   * Renders all metrics.
   *
   * @returns text in the Prometheus format
   */
  public render(): Promise<string> {
    return this.#registry.metrics();
  }
}
