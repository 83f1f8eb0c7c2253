import type { Scheduler } from '@toucanline/jobs';
import type { ForecastNotice } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import type { HostMetrics } from './HostMetrics.js';
import { hostLimits } from './hostLimits.js';

/** Oldest protocol of the peers that can read a forecast. */
const forecastProtocol = 2;

/** Sends the leader's backlog forecast to the hosts, this one included. */
export class ForecastSender {
  readonly #scheduler: Scheduler;
  readonly #metrics: HostMetrics;
  readonly #listPeerLinks: () => readonly Link[];
  readonly #applyLocally: (forecast: ForecastNotice) => void;
  #sent = '';
  #sentAt = -Infinity;

  /**
   * @param scheduler - makes the forecast
   * @param metrics - metrics of this process
   * @param listPeerLinks - lists the links that other hosts have opened to this one
   * @param applyLocally - applies the forecast on this host
   */
  public constructor(
    scheduler: Scheduler,
    metrics: HostMetrics,
    listPeerLinks: () => readonly Link[],
    applyLocally: (forecast: ForecastNotice) => void,
  ) {
    this.#scheduler = scheduler;
    this.#metrics = metrics;
    this.#listPeerLinks = listPeerLinks;
    this.#applyLocally = applyLocally;
  }

  /**
   * Makes a forecast if one is due, and sends it if it has changed. While work waits, an unchanged one is repeated,
   * because hosts do not use an old one.
   *
   * @param now - monotonic time in milliseconds
   */
  public update(now: number): void {
    const links = this.#listPeerLinks().filter(
      ({ peer, isClosed }) => !isClosed && (peer?.protocol ?? 0) >= forecastProtocol,
    );
    const forecast = this.#scheduler.forecast.update(now, links.length + 1);
    if (forecast === undefined) return;
    for (const [service, { waiting, running, delayMs }] of this.#scheduler.forecast.services)
      this.#metrics.setBacklog(service, waiting, running, delayMs);
    const text = JSON.stringify(forecast);
    const isRepeated = text === this.#sent;
    const isDue = forecast.services.length > 0 && now - this.#sentAt >= hostLimits.forecastRepeatMs;
    if (isRepeated && !isDue) return;
    this.#sent = text;
    this.#sentAt = now;
    for (const link of links) link.notify(forecast);
    this.#applyLocally(forecast);
  }
}
