import type { Assignment } from '@toucanline/schema';
import type { DaemonProcess } from './DaemonProcess.js';
import { exampleDocument } from './exampleDocument.js';
import { FaultProxy } from './FaultProxy.js';
import { Site } from './Site.js';

const highestLimit = { processors: 40, memoryMb: 120_000, accelerators: 8 };

/** A site with two data centres, whose daemons can be killed and replaced. */
export class ChaosSite {
  public readonly dataCentres: readonly string[] = ['dc1', 'dc2'];
  public readonly site: Site;
  readonly #daemons = new Map<string, DaemonProcess>();
  readonly #startCounts = new Map<string, number>();
  /** Proxy in front of each scheduler, by process. */
  readonly #schedulerProxies = new Map<string, FaultProxy>();
  /** Local monotonic time in milliseconds at which each daemon was killed, by process. */
  readonly #killTimes = new Map<string, number>();
  #replacedCount = 0;

  public constructor() {
    this.site = new Site({
      document: this.createDocument(highestLimit.processors),
      dataCentres: this.dataCentres,
      entriesPerDataCentre: 1,
      schedulersPerDataCentre: 2,
      workersPerDataCentre: 4,
      teams: ['planning', 'broadcast'],
      proxyScheduler: (address, process) => this.#proxyScheduler(address, process),
    });
    this.site.monitor.setLimits(new Map([['planning', highestLimit]]));
    const recordStart = this.site.monitor.recordStart.bind(this.site.monitor);
    this.site.monitor.recordStart = (worker, assignment): void => {
      this.#countStart(assignment);
      recordStart(worker, assignment);
    };
  }

  /**
   * Creates a configuration document.
   *
   * @param processors - limit of the team planning in processors, at most 40
   * @returns text of the document
   */
  public createDocument(processors: number): string {
    return exampleDocument
      .replace('dataCentre = "dc1"', 'dataCentre = "dc1"\n\n[shards.s2]\ndataCentre = "dc2"')
      .replace('processors = 40', `processors = ${processors}`);
  }

  /** Starts the site. */
  public async start(): Promise<void> {
    await this.site.start();
    for (const daemon of [...this.site.entries, ...this.site.schedulers])
      this.#daemons.set(daemon.settings.process, daemon);
  }

  /** Stops the site and its proxies. */
  public async stop(): Promise<void> {
    await this.site.stop();
    for (const proxy of this.#schedulerProxies.values()) proxy.stop();
  }

  /**
   * Silences the open links to a scheduler: they stay open but carry no data. New links work.
   *
   * @param process - name of the scheduler
   * @param dataCentre - data centre whose links are silenced; all data centres if absent
   */
  public silenceLinks(process: string, dataCentre?: string): void {
    this.#schedulerProxies
      .get(process)
      ?.setFaults((client) =>
        dataCentre === undefined || client === dataCentre ? 'silence' : 'none',
      );
  }

  /**
   * Lists the daemons of a role that are not being replaced.
   *
   * @param role - role of the daemons
   * @returns the daemons
   */
  public listDaemons(role: 'entry' | 'scheduler'): readonly DaemonProcess[] {
    return [...this.#daemons.values()].filter(
      ({ settings }) => settings.process.startsWith('e') === (role === 'entry'),
    );
  }

  /**
   * Reads the base URL of the entry of a data centre.
   *
   * @param dataCentre - the data centre
   * @returns its URL; one that refuses connections while the entry is being replaced
   */
  public readEntryUrl(dataCentre: string): string {
    return this.#findEntry(dataCentre)?.url ?? 'http://127.0.0.1:1';
  }

  /**
   * Reads the name of the entry of a data centre.
   *
   * @param dataCentre - the data centre
   * @returns name of the process; undefined while it is being replaced
   */
  public readEntryName(dataCentre: string): string | undefined {
    return this.#findEntry(dataCentre)?.settings.process;
  }

  /**
   * Reads the owner of a shard from the store.
   *
   * @param shard - name of the shard
   * @returns name of the process, if one holds the claim
   */
  public findOwner(shard: string): string | undefined {
    return this.site.store.peek(`owners/${shard}`).value?.split(' ')[0];
  }

  /**
   * Checks whether a daemon was killed after a given time.
   *
   * @param process - name of the daemon
   * @param sinceMs - local monotonic time in milliseconds
   * @returns true if it was killed after that time
   */
  public wasKilledSince(process: string, sinceMs: number): boolean {
    return (this.#killTimes.get(process) ?? -Infinity) > sinceMs;
  }

  /**
   * Kills a daemon and starts a new one after a pause.
   *
   * @param daemon - the daemon to replace
   * @param role - its role
   * @param pause - waits before the new daemon is started
   */
  public async replaceDaemon(
    daemon: DaemonProcess,
    role: 'entry' | 'scheduler',
    pause: () => Promise<void>,
  ): Promise<void> {
    const { process: name, dataCentre } = daemon.settings;
    daemon.signal('SIGKILL');
    this.#killTimes.set(name, performance.now());
    await daemon.exit;
    this.#daemons.delete(name);
    await pause();
    this.site.hostList.remove(name);
    this.#schedulerProxies.get(name)?.stop();
    this.#schedulerProxies.delete(name);
    this.#replacedCount += 1;
    const newName = `${role.charAt(0)}x${this.#replacedCount}-${dataCentre}`;
    const next =
      role === 'entry'
        ? await this.site.addEntry(dataCentre, newName)
        : await this.site.addScheduler(dataCentre, newName);
    this.#daemons.set(newName, next);
  }

  /**
   * Counts the starts of tasks that print a text, over all requests of the submission.
   *
   * @param text - unique text of the submission
   * @returns highest number of starts of one task
   */
  public countStarts(text: string): number {
    let count = 0;
    for (const [name, starts] of this.#startCounts)
      if (name.startsWith(`${text}/`)) count = Math.max(count, starts);
    return count;
  }

  #findEntry(dataCentre: string): DaemonProcess | undefined {
    return this.listDaemons('entry').find(({ settings }) => settings.dataCentre === dataCentre);
  }

  async #proxyScheduler(address: string, process: string): Promise<string> {
    const proxy = new FaultProxy(
      () => address,
      // In the first frame of a link, the connecting process sends its data centre.
      (firstChunk) => this.dataCentres.find((name) => firstChunk.includes(name)) ?? '',
    );
    this.#schedulerProxies.set(process, proxy);
    await proxy.start();
    return proxy.address;
  }

  #countStart({ request, index }: Assignment): void {
    const text = /echo (\S+)/.exec(request.command)?.[1];
    if (text === undefined) return;
    const name = `${text}/${index}`;
    this.#startCounts.set(name, (this.#startCounts.get(name) ?? 0) + 1);
  }
}
