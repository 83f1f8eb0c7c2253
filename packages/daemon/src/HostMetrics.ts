import type { RefusalReason } from '@toucanline/schema';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Upper bounds of the buckets, in seconds: accepting a job takes a store call of 4 ms, callers wait 3 s at most. */
const durationBucketsSeconds = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Upper bounds of the buckets of the ratio of actual to expected durations. */
const ratioBuckets = [0.1, 0.25, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 3, 5, 7, 10];

/** Counters and latency histograms of a host process, rendered in the Prometheus text format. */
export class HostMetrics {
  readonly #registry = new Registry();
  readonly #events: Counter<'event'>;
  readonly #calls: Histogram<'method' | 'status'>;
  readonly #starts: Histogram;
  readonly #durationRatios: Histogram<'level'>;
  readonly #evacuatedDataCentres: Gauge;
  readonly #blockedSteps: Gauge<'reason'>;
  readonly #accountsAwaitingAllowance: Gauge;
  readonly #refusals: Counter<'port' | 'reason'>;
  readonly #backlog: Gauge<'service' | 'state'>;
  readonly #forecastDelay: Gauge<'service'>;
  readonly #forecastRefusals: Counter<'entitled'>;

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
    this.#backlog = new Gauge({
      name: 'toucanline_backlog_processor_seconds',
      help: 'Work of a service that waits or runs, on the leader.',
      labelNames: ['service', 'state'],
      registers,
    });
    this.#forecastDelay = new Gauge({
      name: 'toucanline_forecast_delay_seconds',
      help: 'Time that the waiting work of a service takes to drain, on the leader.',
      labelNames: ['service'],
      registers,
    });
    this.#forecastRefusals = new Counter({
      name: 'toucanline_forecast_refusals_total',
      help: 'Submissions refused by the forecast, by whether the account was within its rate and share.',
      labelNames: ['entitled'],
      registers,
    });
    this.#durationRatios = new Histogram({
      name: 'toucanline_duration_ratio',
      help: 'Actual duration of finished runs relative to the expected one, by level of the estimate.',
      labelNames: ['level'],
      buckets: ratioBuckets,
      registers,
    });
    this.#evacuatedDataCentres = new Gauge({
      name: 'toucanline_evacuated_data_centres',
      help: 'Data centres on whose workers the leader starts nothing; 0 on other hosts.',
      registers,
    });
    this.#blockedSteps = new Gauge({
      name: 'toucanline_blocked_steps',
      help: 'Steps that cannot start at present, by reason; 0 on hosts other than the leader.',
      labelNames: ['reason'],
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
   * Records how exact the expected duration of a finished run was.
   *
   * @param level - most specific kind of work on which the estimate mostly rested; `declared` if it was not learned
   * @param ratio - ratio of the actual to the expected duration
   */
  public observeDuration(level: string, ratio: number): void {
    this.#durationRatios.observe({ level }, ratio);
  }

  /**
   * Sets the number of evacuated data centres.
   *
   * @param count - number of data centres
   */
  public setEvacuatedDataCentres(count: number): void {
    this.#evacuatedDataCentres.set(count);
  }

  /**
   * Sets the number of steps that cannot start.
   *
   * @param reason - why they cannot start
   * @param count - number of steps
   */
  public setBlockedSteps(reason: 'evacuation', count: number): void {
    this.#blockedSteps.set({ reason }, count);
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
   * Counts a connection or request that was refused or closed because of a limit.
   *
   * @param port - name of the port
   * @param reason - reason for the refusal
   */
  public countRefusal(port: string, reason: RefusalReason): void {
    this.#refusals.inc({ port, reason });
  }

  /**
   * Records the backlog of a service.
   *
   * @param service - name of the service
   * @param waiting - waiting work in processor seconds
   * @param running - running work in processor seconds
   * @param delayMs - time that the waiting work takes to drain, in milliseconds
   */
  public setBacklog(service: string, waiting: number, running: number, delayMs: number): void {
    this.#backlog.set({ service, state: 'waiting' }, waiting);
    this.#backlog.set({ service, state: 'running' }, running);
    this.#forecastDelay.set({ service }, delayMs / 1000);
  }

  /** Removes the backlog of all services, because this host does not lead any more. */
  public clearBacklog(): void {
    this.#backlog.reset();
    this.#forecastDelay.reset();
  }

  /**
   * Counts a submission that was refused by the forecast.
   *
   * @param isEntitled - whether the account was within its entitled rate and share
   */
  public countForecastRefusal(isEntitled: boolean): void {
    this.#forecastRefusals.inc({ entitled: isEntitled ? 'yes' : 'no' });
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
