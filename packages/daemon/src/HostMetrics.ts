import { Counter, Histogram, Registry } from 'prom-client';

/** Upper bounds of the buckets, in seconds: an accept takes a store call of 4 ms, a caller waits 3 s at most. */
const durationBucketsSeconds = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Counters and latencies of a host's process, as text in the Prometheus format. */
export class HostMetrics {
  readonly #registry = new Registry();
  readonly #events: Counter<'event'>;
  readonly #calls: Histogram<'method' | 'status'>;
  readonly #starts: Histogram;

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
    this.#starts = new Histogram({
      name: 'toucanline_start_seconds',
      help: 'Time from a start order to the answer of the worker.',
      buckets: durationBucketsSeconds,
      registers,
    });
  }

  /** Media type of the text. */
  public get contentType(): string {
    return this.#registry.contentType;
  }

  /** @param event - name of a log event */
  public countEvent(event: string): void {
    this.#events.inc({ event });
  }

  /**
   * Notes a caller's call.
   *
   * @param method - HTTP method
   * @param status - HTTP status of the answer
   * @param durationMs - milliseconds until the answer
   */
  public observeCall(method: string, status: number, durationMs: number): void {
    this.#calls.observe({ method, status: String(status) }, durationMs / 1000);
  }

  /** @param durationMs - milliseconds from a start order to the worker's answer */
  public observeStart(durationMs: number): void {
    this.#starts.observe(durationMs / 1000);
  }

  /**
   * Renders all metrics.
   *
   * @returns the text
   */
  public render(): Promise<string> {
    return this.#registry.metrics();
  }
}
