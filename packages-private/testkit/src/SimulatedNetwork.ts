import { FaultProxy } from './FaultProxy.js';
import type { ProxyFault } from './ProxyFault.js';
import type { Site } from './Site.js';

/** Reads the data centre from the introduction, which is the first frame of a link. */
const readDataCentre = (first: Buffer, dataCentres: readonly string[]): string =>
  dataCentres.find((name) => first.includes(name)) ?? '';

/**
 * Network between the data centres of a site and the platform: each path goes through a proxy, so that a data
 * centre can be cut off as a whole while its own processes, callers and workers reach each other.
 */
export class SimulatedNetwork {
  readonly #dataCentres: readonly string[];
  /** Per data centre: its paths to the store and to the host list. */
  readonly #platformProxies = new Map<string, readonly FaultProxy[]>();
  /** Per scheduler: the links to it. */
  readonly #schedulerProxies = new Map<
    string,
    { readonly dataCentre: string; readonly proxy: FaultProxy }
  >();
  readonly #isolationFaults = new Map<string, ProxyFault>();

  /** @param dataCentres - names of the data centres */
  public constructor(dataCentres: readonly string[]) {
    this.#dataCentres = dataCentres;
  }

  /**
   * Starts the paths to the platform.
   *
   * @param site - the site whose fakes are reached
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

  /** Ends all paths. */
  public stop(): void {
    for (const proxy of this.#listProxies()) proxy.stop();
  }

  /**
   * Finds the platform's addresses as a data centre sees them.
   *
   * @param dataCentre - name of the data centre
   * @returns base URLs
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
   * @returns the address for other processes
   */
  public async proxyScheduler(
    address: string,
    process: string,
    dataCentre: string,
  ): Promise<string> {
    const proxy = new FaultProxy(
      () => address,
      (first) => readDataCentre(first, this.#dataCentres),
    );
    await proxy.start();
    this.#schedulerProxies.set(process, { dataCentre, proxy });
    this.#applyFaults();
    return proxy.address;
  }

  /**
   * Cuts a data centre off from the platform and from all others.
   *
   * @param dataCentre - name of the data centre
   * @param fault - whether connections are refused (`cut`) or drop all bytes (`blackhole`)
   */
  public isolate(dataCentre: string, fault: 'cut' | 'blackhole' = 'cut'): void {
    this.#isolationFaults.set(dataCentre, fault);
    this.#applyFaults();
  }

  /** Joins all data centres again. Connections that dropped bytes are closed, as a reset would do. */
  public heal(): void {
    this.#isolationFaults.clear();
    for (const proxy of this.#listProxies()) proxy.closeConnections();
    this.#applyFaults();
  }

  #listProxies(): readonly FaultProxy[] {
    return [
      ...[...this.#platformProxies.values()].flat(),
      ...[...this.#schedulerProxies.values()].map((x) => x.proxy),
    ];
  }

  #applyFaults(): void {
    for (const [dataCentre, proxies] of this.#platformProxies) {
      for (const proxy of proxies) proxy.setFault(this.#isolationFaults.get(dataCentre) ?? 'none');
    }
    for (const { dataCentre, proxy } of this.#schedulerProxies.values()) {
      proxy.setFaults((dialer) => {
        if (dialer === dataCentre) return 'none';
        return this.#isolationFaults.get(dataCentre) ?? this.#isolationFaults.get(dialer) ?? 'none';
      });
    }
  }
}
