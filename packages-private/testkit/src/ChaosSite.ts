import type { Assignment } from '@toucanline/schema';
import type { DaemonProcess } from './DaemonProcess.js';
import { exampleDocument } from './exampleDocument.js';
import { FaultProxy } from './FaultProxy.js';
import { Site } from './Site.js';

const highestLimit = { processors: 40, memoryMb: 120_000, accelerators: 8 };

/** A site with two data centres whose daemons can be replaced. */
export class ChaosSite {
  public readonly dataCentres: readonly string[] = ['dc1', 'dc2'];
  public readonly site: Site;
  readonly #daemons = new Map<string, DaemonProcess>();
  readonly #startCounts = new Map<string, number>();
  /** Proxies in front of the schedulers, by process. */
  readonly #schedulerProxies = new Map<string, FaultProxy>();
  /** Local monotonic times in milliseconds at which daemons were killed. */
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
    const noteStart = this.site.monitor.recordStart.bind(this.site.monitor);
    this.site.monitor.recordStart = (worker, assignment): void => {
      this.#countStart(assignment);
      noteStart(worker, assignment);
    };
  }

  /**
   * Creates a configuration document.
   *
   * @param processors - limit of team planning, at most 40
   * @returns its text
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

  /** Ends the site. */
  public async stop(): Promise<void> {
    await this.site.stop();
    for (const proxy of this.#schedulerProxies.values()) proxy.stop();
  }

  /**
   * Silences the open links to a scheduler: they stay open and carry nothing. New links work.
   *
   * @param process - name of the scheduler
   * @param dataCentre - whose links; those of all data centres if absent
   */
  public silenceLinks(process: string, dataCentre?: string): void {
    this.#schedulerProxies
      .get(process)
      ?.setFaults((dialer) =>
        dataCentre === undefined || dialer === dataCentre ? 'silence' : 'none',
      );
  }

  /**
   * Lists the daemons that run.
   *
   * @param role - which daemons
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
   * @returns its URL
   */
  public readEntryUrl(dataCentre: string): string {
    return this.#findEntry(dataCentre)?.url ?? 'http://127.0.0.1:1';
  }

  /**
   * Reads the name of the entry of a data centre.
   *
   * @param dataCentre - the data centre
   * @returns name of the process, unless it is being replaced
   */
  public readEntryName(dataCentre: string): string | undefined {
    return this.#findEntry(dataCentre)?.settings.process;
  }

  /**
   * Finds the owner of a shard in the store.
   *
   * @param shard - name of the shard
   * @returns name of the process, if one holds the claim
   */
  public findOwner(shard: string): string | undefined {
    return this.site.store.peek(`owners/${shard}`).value?.split(' ')[0];
  }

  /**
   * Checks whether a daemon was killed after a moment.
   *
   * @param process - name of the daemon
   * @param sinceMs - local monotonic time in milliseconds
   * @returns true if it was killed later
   */
  public wasKilledSince(process: string, sinceMs: number): boolean {
    return (this.#killTimes.get(process) ?? -Infinity) > sinceMs;
  }

  /**
   * Kills a daemon and starts a new one after a pause.
   *
   * @param daemon - the daemon to replace
   * @param role - its role
   * @param pause - waits before the start of the new one
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
   * Counts the starts of a text, over all requests that carry it.
   *
   * @param text - the text that the command prints
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
      // The first frame of a link introduces the dialling process with its data centre.
      (first) => this.dataCentres.find((name) => first.includes(name)) ?? '',
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
