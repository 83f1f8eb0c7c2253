import type { IncomingMessage } from 'node:http';
import type { HostRecord } from '@toucanline/schema';
import { HttpFake } from './HttpFake.js';

/** A fake of the platform's host list, which publishes changes after a lag. */
export class HostListFake extends HttpFake {
  readonly #hosts = new Map<string, HostRecord>();
  #publishedHosts: readonly HostRecord[] = [];
  #lagMs = 0;

  public constructor() {
    super();
  }

  /**
   * Sets the lag with which further changes are published.
   *
   * @param lagMs - lag in milliseconds
   */
  public setLag(lagMs: number): void {
    this.#lagMs = lagMs;
  }

  /**
   * Adds or changes a host.
   *
   * @param host - record of the host
   */
  public put(host: HostRecord): void {
    this.#hosts.set(host.id, host);
    this.#publish();
  }

  /**
   * Removes a host.
   *
   * @param id - name of the host
   */
  public remove(id: string): void {
    this.#hosts.delete(id);
    this.#publish();
  }

  /** {@inheritDoc HttpFake.openStream} */
  protected override openStream(): undefined {
    return undefined;
  }

  /** {@inheritDoc HttpFake.handle} */
  protected override handle(
    request: IncomingMessage,
  ): Promise<{ readonly status: number; readonly body: unknown }> {
    if (request.url !== '/v1/hosts') return Promise.resolve({ status: 404, body: {} });
    return Promise.resolve({ status: 200, body: { hosts: this.#publishedHosts } });
  }

  #publish(): void {
    const hosts = [...this.#hosts.values()];
    if (this.#lagMs === 0) this.#publishedHosts = hosts;
    else setTimeout(() => (this.#publishedHosts = hosts), this.#lagMs);
  }
}
