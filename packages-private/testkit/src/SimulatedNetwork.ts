import { FaultProxy } from './FaultProxy.js';
import type { ProxyFault } from './ProxyFault.js';
import type { Site } from './Site.js';

/** Reads the data centre of the connecting process from the first frame of a link, in which it identifies itself. */
const readDataCentre = (firstChunk: Buffer, dataCentres: readonly string[]): string =>
  dataCentres.find((name) => firstChunk.includes(name)) ?? '';

/**
 * Network between the data centres of a site and the platform. Each path goes through a proxy, so that a whole
 * data centre can be isolated while its own processes, callers and workers still reach each other.
 */
export class SimulatedNetwork {
  readonly #dataCentres: readonly string[];
  /** Proxies in front of the store and the host list, by data centre. */
  readonly #platformProxies = new Map<string, readonly FaultProxy[]>();
  /** Proxy in front of each scheduler, with the data centre of the scheduler, by process. */
  readonly #schedulerProxies = new Map<
    string,
    { readonly dataCentre: string; readonly proxy: FaultProxy }
  >();
  /** Fault of each isolated data centre. */
  readonly #isolationFaults = new Map<string, ProxyFault>();

  /** @param dataCentres - names of the data centres */
  public constructor(dataCentres: readonly string[]) {
    this.#dataCentres = dataCentres;
  }

  /**
   * Starts the proxies in front of the platform.
   *
   * @param site - the site whose store and host list are proxied
   */
  public async start(site: Site): Promise<void> {
    for (const dataCentre of this.#dataCentres) {
      const proxies = [
        new FaultProxy(() => site.store.address),
        new FaultProxy(() => site.hostList.address),
      ];
      await Promise.all(proxies.map((proxy) => proxy.start()));
      this.#platformProxies.set(dataCentre, proxies);
    }
  }

  /** Stops all proxies. */
  public stop(): void {
    for (const proxy of this.#listProxies()) proxy.stop();
  }

  /**
   * Finds the URLs at which a data centre reaches the platform.
   *
   * @param dataCentre - name of the data centre
   * @returns base URLs of the store and the host list
   */
  public findPlatformUrls(dataCentre: string): { readonly store: string; readonly hosts: string } {
    const [store = '', hosts = ''] = (this.#platformProxies.get(dataCentre) ?? []).map(
      ({ address }) => `http://${address}`,
    );
    return { store, hosts };
  }

  /**
   * Puts a proxy in front of a scheduler.
   *
   * @param address - its link address
   * @param process - its name
   * @param dataCentre - its data centre
   * @returns the address at which other processes reach it
   */
  public async proxyScheduler(
    address: string,
    process: string,
    dataCentre: string,
  ): Promise<string> {
    const proxy = new FaultProxy(
      () => address,
      (firstChunk) => readDataCentre(firstChunk, this.#dataCentres),
    );
    await proxy.start();
    this.#schedulerProxies.set(process, { dataCentre, proxy });
    this.#applyFaults();
    return proxy.address;
  }

  /**
   * Isolates a data centre from the platform and from all other data centres.
   *
   * @param dataCentre - name of the data centre
   * @param fault - `cut` closes and refuses connections, `blackhole` drops all bytes
   */
  public isolate(dataCentre: string, fault: 'cut' | 'blackhole' = 'cut'): void {
    this.#isolationFaults.set(dataCentre, fault);
    this.#applyFaults();
  }

  /** Reconnects all data centres. Closes the connections that dropped bytes, as a TCP reset would. */
  public heal(): void {
    this.#isolationFaults.clear();
    for (const proxy of this.#listProxies()) proxy.closeConnections();
    this.#applyFaults();
  }

  #listProxies(): readonly FaultProxy[] {
    return [
      ...[...this.#platformProxies.values()].flat(),
      ...[...this.#schedulerProxies.values()].map((each) => each.proxy),
    ];
  }

  #applyFaults(): void {
    for (const [dataCentre, proxies] of this.#platformProxies) {
      for (const proxy of proxies) proxy.setFault(this.#isolationFaults.get(dataCentre) ?? 'none');
    }
    for (const { dataCentre, proxy } of this.#schedulerProxies.values()) {
      proxy.setFaults((client) => {
        if (client === dataCentre) return 'none';
        return this.#isolationFaults.get(dataCentre) ?? this.#isolationFaults.get(client) ?? 'none';
      });
    }
  }
}
