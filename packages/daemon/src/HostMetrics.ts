import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Upper bounds of the buckets, in seconds: accepting a job takes a store call of 4 ms, callers wait 3 s at most. */
const durationBucketsSeconds = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Counters and latency histograms of a host process, rendered in the Prometheus text format. */
export class HostMetrics {
  readonly #registry = new Registry();
  readonly #events: Counter<'event'>;
  readonly #calls: Histogram<'method' | 'status'>;
  readonly #starts: Histogram;
  readonly #accountsAwaitingAllowance: Gauge;

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
    this.#accountsAwaitingAllowance = new Gauge({
      name: 'toucanline_accounts_awaiting_allowance',
      help: 'Accounts whose starts wait until a higher allowance is stored.',
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
   * Sets the number of accounts whose starts wait for a higher allowance.
   *
   * @param count - number of accounts
   */
  public setAccountsAwaitingAllowance(count: number): void {
    this.#accountsAwaitingAllowance.set(count);
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
