import { createHash } from 'node:crypto';
import type { Key, ProcessSettings, Resources, ShardStatus } from '@toucanline/schema';
import { DaemonProcess } from './DaemonProcess.js';
import { findFreePort } from './findFreePort.js';
import { HostListFake } from './HostListFake.js';
import { ExecutionMonitor } from './ExecutionMonitor.js';
import type { SimulatedNetwork } from './SimulatedNetwork.js';
import { sleep } from './sleep.js';
import { StoreFake } from './StoreFake.js';
import { waitUntil } from './waitUntil.js';
import { WorkerFake } from './WorkerFake.js';

const environment = 'test';

/** Key with all operator roles on every site of the testkit. */
const operatorKey = 'operator-key-of-the-testkit';

const hashText = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Components of a site, and replacements for single addresses. */
interface SiteOptions {
  /** Text of the configuration document. */
  readonly document: string;
  readonly dataCentres: readonly string[];
  readonly entriesPerDataCentre: number;
  readonly schedulersPerDataCentre: number;
  readonly workersPerDataCentre: number;
  /** Total capacity of each worker; 16 processors and 32,768 MB of memory by default. */
  readonly workerCapacity?: Resources;
  /** Teams that are granted the key `key-TEAM`. */
  readonly teams: readonly string[];
  /** Whether configuration changes require the role `promote`. */
  readonly production?: boolean;
  /** Base URLs that the daemons use in place of those of the store and host list fakes. */
  readonly platform?: { readonly store?: string; readonly hosts?: string };
  /** Returns the base URL of the store for a daemon, such as that of a proxy; undefined for the default. */
  readonly findStoreUrl?: (
    dataCentre: string,
    process: string,
  ) => string | undefined | Promise<string | undefined>;
  /** Returns the base URL of the host list for the daemons of a data centre; undefined for the default. */
  readonly findHostListUrl?: (dataCentre: string) => string | undefined;
  /** Puts a proxy in front of a scheduler and returns its address, which the host list then publishes. */
  readonly proxyScheduler?: (address: string, process: string) => Promise<string>;
  /** Limits of all daemons; the defaults of the settings if absent. */
  readonly limits?: ProcessSettings['limits'];
  /** Network that connects the data centres to the platform and to each other. */
  readonly network?: SimulatedNetwork;
}

/** A complete site on loopback: fakes of the platform in this process, daemons as separate processes. */
export class Site {
  public readonly store = new StoreFake();
  public readonly hostList = new HostListFake();
  public readonly monitor = new ExecutionMonitor();
  readonly #options: SiteOptions;
  readonly #workers: WorkerFake[] = [];
  readonly #entries: DaemonProcess[] = [];
  readonly #schedulers: DaemonProcess[] = [];

  /** @param options - components of the site */
  public constructor(options: SiteOptions) {
    this.#options = options;
  }

  /** Workers of the site. */
  public get workers(): readonly WorkerFake[] {
    return this.#workers;
  }

  /** Entry processes, in the order of their start. */
  public get entries(): readonly DaemonProcess[] {
    return this.#entries;
  }

  /** Scheduler processes, in the order of their start. */
  public get schedulers(): readonly DaemonProcess[] {
    return this.#schedulers;
  }

  /** Key with all operator roles. */
  public get operatorKey(): string {
    return operatorKey;
  }

  /** HTTP headers that authenticate an operator. */
  public get operatorHeaders(): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${operatorKey}` };
  }

  /**
   * Starts the fakes, the workers and all daemons.
   *
   * @returns a promise that resolves once each shard has an owner and each entry is ready
   */
  public async start(): Promise<void> {
    await Promise.all([this.store.start(), this.hostList.start()]);
    await this.#options.network?.start(this);
    this.putDocument(this.#options.document, 1);
    this.putKeys(this.#options.teams, 1);
    for (const dataCentre of this.#options.dataCentres) {
      for (let index = 0; index < this.#options.workersPerDataCentre; index += 1) {
        await this.addWorker(dataCentre, `w${index}-${dataCentre}`, `rack${index % 2}`);
      }
      for (let index = 0; index < this.#options.schedulersPerDataCentre; index += 1) {
        await this.addScheduler(dataCentre, `s${index}-${dataCentre}`);
      }
      for (let index = 0; index < this.#options.entriesPerDataCentre; index += 1) {
        await this.addEntry(dataCentre, `e${index}-${dataCentre}`);
      }
    }
    const daemons = [...this.#schedulers, ...this.#entries];
    await Promise.all(daemons.map((daemon) => daemon.waitUntilHealthy()));
    await this.waitForOwners();
  }

  /** Kills all daemons and stops the workers and fakes. */
  public async stop(): Promise<void> {
    const daemons = [...this.#entries, ...this.#schedulers];
    for (const daemon of daemons) daemon.signal('SIGKILL');
    await Promise.all(daemons.map((daemon) => daemon.exit));
    for (const worker of this.#workers) worker.stop();
    this.#options.network?.stop();
    this.store.stop();
    this.hostList.stop();
  }

  /**
   * Writes a configuration document to the store.
   *
   * @param text - text of the document
   * @param revision - its revision
   */
  public putDocument(text: string, revision: number): void {
    const record = {
      revision,
      digest: hashText(text),
      author: 'testkit',
      atMs: Date.now(),
      token: `r${revision}`,
      text,
    };
    this.store.put(`configuration/${environment}`, JSON.stringify(record));
  }

  /**
   * Writes the key list to the store, with a key `key-TEAM` for each team.
   *
   * @param teams - names of the teams
   * @param revision - revision of the key list
   * @param withdrawn - teams whose key is withdrawn
   */
  public putKeys(
    teams: readonly string[],
    revision: number,
    withdrawn: readonly string[] = [],
  ): void {
    const keys = teams.map((team): Key => ({
      id: `k-${team}`,
      hash: hashText(`key-${team}`),
      team,
      roles: ['submit'],
      grantedAtMs: Date.now(),
      ...(withdrawn.includes(team) ? { withdrawnAtMs: 1 } : {}),
    }));
    this.store.put(
      `keys/${environment}`,
      JSON.stringify({ revision, token: `k${revision}`, keys }),
    );
  }

  /**
   * Starts a worker and adds it to the host list.
   *
   * @param dataCentre - its data centre
   * @param id - its name
   * @param rack - its rack
   * @param capacity - its total capacity
   * @returns the worker
   */
  public async addWorker(
    dataCentre: string,
    id: string,
    rack: string,
    capacity: Resources = this.#options.workerCapacity ?? {
      processors: 16,
      memoryMb: 32_768,
      accelerators: 0,
    },
  ): Promise<WorkerFake> {
    const worker = new WorkerFake({ id, dataCentre, rack, capacity }, this.monitor);
    await worker.start();
    this.#workers.push(worker);
    this.hostList.put(worker.hostRecord);
    return worker;
  }

  /**
   * Starts a scheduler process and adds it to the host list.
   *
   * @param dataCentre - its data centre
   * @param process - its name
   * @returns the process
   */
  public async addScheduler(dataCentre: string, process: string): Promise<DaemonProcess> {
    const port = await findFreePort();
    const address = `127.0.0.1:${port}`;
    const publishedAddress =
      (await this.#options.network?.proxyScheduler(address, process, dataCentre)) ??
      (await this.#options.proxyScheduler?.(address, process)) ??
      address;
    const daemon = new DaemonProcess('scheduler', {
      ...(await this.#createSettings(dataCentre, process)),
      link: { host: '127.0.0.1', port },
      linkAddress: publishedAddress,
    });
    this.#schedulers.push(daemon);
    this.hostList.put({
      id: process,
      role: 'scheduler',
      state: 'live',
      dataCentre,
      address: publishedAddress,
    });
    return daemon;
  }

  /**
   * Starts an entry process.
   *
   * @param dataCentre - its data centre
   * @param process - its name
   * @returns the process
   */
  public async addEntry(dataCentre: string, process: string): Promise<DaemonProcess> {
    const daemon = new DaemonProcess('entry', await this.#createSettings(dataCentre, process));
    this.#entries.push(daemon);
    return daemon;
  }

  /**
   * Waits until the status that the first entry returns has an owner for each shard, and an allotment for each
   * team with a limit: without an allotment, an owner starts no work of the team while the store is down.
   *
   * @param timeoutMs - longest wait in milliseconds
   * @throws Error if an owner or an allotment is missing when the wait ends
   */
  public async waitForOwners(timeoutMs = 15_000): Promise<void> {
    const endsAt = performance.now() + timeoutMs;
    const expectedCount = this.#options.dataCentres.length;
    while (performance.now() < endsAt) {
      const status = (await this.readStatus()) as {
        processes: readonly { shards: readonly ShardStatus[] }[];
      };
      const shards = status.processes.flatMap((process) => process.shards);
      const isOwned = shards.filter(({ recovering }) => !recovering).length >= expectedCount;
      const teams = shards.flatMap((shard) => shard.teams);
      const limited = teams.filter(({ allotment }) => allotment !== undefined);
      const hasWorkers = this.#workers.length > 0;
      const isAllotted = limited.every(({ team }) =>
        limited.some((each) => each.team === team && (each.allotment?.processors ?? 0) > 0),
      );
      if (isOwned && (isAllotted || !hasWorkers)) return;
      await sleep(100);
    }
    throw new Error('a shard has no owner or a team with a limit has no allotment');
  }

  /**
   * Reads from the store which process holds the claim on a shard.
   *
   * @param shard - name of the shard
   * @returns name of the process; empty if there is none
   */
  public readOwner(shard = 's1'): string {
    return this.store.peek(`owners/${shard}`).value?.split(' ')[0] ?? '';
  }

  /**
   * Finds the scheduler process that holds the claim on a shard.
   *
   * @param shard - name of the shard
   * @returns the process, if it is one of this site
   */
  public findOwner(shard = 's1'): DaemonProcess | undefined {
    const owner = this.readOwner(shard);
    return this.#schedulers.find(({ settings }) => settings.process === owner);
  }

  /**
   * Waits until a scheduler holds the claim on a shard.
   *
   * @param timeoutMs - longest wait in milliseconds
   * @param shard - name of the shard
   * @returns the process
   * @throws Error if none holds the claim when the wait ends
   */
  public async waitForOwner(timeoutMs: number, shard = 's1'): Promise<DaemonProcess> {
    const condition = `${shard} has an owner`;
    await waitUntil(() => this.findOwner(shard) !== undefined, timeoutMs, condition);
    return this.findOwner(shard) ?? Promise.reject(new Error(`no longer true: ${condition}`));
  }

  /**
   * Reads the status of the site from an entry.
   *
   * @param entry - the entry to query; the first one if absent
   * @returns the body of the response
   */
  public async readStatus(entry = this.#entries[0]): Promise<unknown> {
    const response = await fetch(`${entry?.url ?? ''}/v1/status`, {
      headers: this.operatorHeaders,
    });
    return response.json();
  }

  async #createSettings(
    dataCentre: string,
    process: string,
  ): Promise<ConstructorParameters<typeof DaemonProcess>[1]> {
    return {
      environment,
      process,
      dataCentre,
      http: { host: '127.0.0.1', port: await findFreePort() },
      platform: {
        store:
          (await this.#options.findStoreUrl?.(dataCentre, process)) ??
          this.#options.platform?.store ??
          this.store.url,
        hosts:
          this.#options.findHostListUrl?.(dataCentre) ??
          this.#options.platform?.hosts ??
          this.hostList.url,
        ...this.#options.network?.findPlatformUrls(dataCentre),
      },
      operatorKeyHash: hashText(operatorKey),
      ...(this.#options.limits === undefined ? {} : { limits: this.#options.limits }),
      ...(this.#options.production === undefined ? {} : { production: this.#options.production }),
    };
  }
}
