import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { findFreePort } from './findFreePort.js';
import { isHostReady } from './isHostReady.js';
import type { PlatformRunMonitor } from './PlatformRunMonitor.js';
import { PlatformStoreFake } from './PlatformStoreFake.js';
import { PlatformWorkerFake } from './PlatformWorkerFake.js';
import { startHostProcess } from './startHostProcess.js';
import { waitUntil } from './waitUntil.js';

/** Process of a host, with its addresses as IP address and port. */
interface SiteHost {
  readonly name: string;
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly metricsAddress: string;
  readonly linkAddress: string;
  readonly process: ChildProcess;
}

/** Changes of the settings of the hosts and of the configuration. */
interface PlatformSiteOptions {
  /** Further lines of the settings file of each host. */
  readonly settingsLines?: readonly string[];
  /** Data centres of the workers, by turns; `dc1` by default. */
  readonly dataCentres?: readonly string[];
  /** Data centres of the hosts, by turns; `dc1` by default. */
  readonly hostDataCentres?: readonly string[];
  /** Monitor that is notified of the runs of all workers. */
  readonly monitor?: PlatformRunMonitor;
  /** Whether the output of each host is written to a file of the folder of the site. */
  readonly keepsOutput?: boolean;
  /** Options of Node.js for each host. */
  readonly nodeOptions?: string;
  /** Largest body of a call, in bytes; 100,000 by default. */
  readonly maxBodyBytes?: number;
}

/** HTTP response to a caller. */
interface CallerAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

const createQueueConfiguration = (name: string, isOpen: boolean): unknown => ({
  Name: name,
  Host: 'site.example',
  Prefix: `/${name}/`,
  Service: 'render',
  Priority: 1,
  MaxAttempts: 2,
  Stretch: 2,
  SloMs: 1000,
  Public: isOpen,
});

/** Hosts as separate processes on fakes of the users' platform, all on loopback. */
export class PlatformSite {
  /** Fake of the key-value store. */
  public readonly store = new PlatformStoreFake();
  readonly #workers: PlatformWorkerFake[] = [];
  readonly #hosts: SiteHost[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), 'toucanline-platform-'));
  readonly #options: PlatformSiteOptions;
  #configurationVersion = 1;

  /** @param options - changes of the settings of the hosts and of the configuration */
  public constructor(options: PlatformSiteOptions = {}) {
    this.#options = options;
  }

  /** Folder with the settings files of the hosts and their output, if it is kept. */
  public get folder(): string {
    return this.#folder;
  }

  /** Fakes of the workers. */
  public get workers(): readonly PlatformWorkerFake[] {
    return this.#workers;
  }

  /** Hosts, in the order of their start. */
  public get hosts(): readonly SiteHost[] {
    return this.#hosts;
  }

  /**
   * Starts the store, the workers and the hosts, and waits until all hosts accept calls.
   *
   * @param hostCount - number of hosts
   * @param workerCount - number of workers
   * @param linkMbps - declared bandwidth of each host's link, in megabits per second; later hosts are not limited
   */
  public async start(
    hostCount: number,
    workerCount: number,
    linkMbps: readonly number[] = [],
  ): Promise<void> {
    await this.store.start();
    this.writeConfiguration(['key-1', 'key-2']);
    for (let number = 1; number <= workerCount; number += 1) await this.#addWorker(`w${number}`);
    for (let number = 1; number <= hostCount; number += 1)
      await this.#addHost(`host-${number}`, linkMbps[number - 1]);
    await waitUntil(
      async () =>
        (await Promise.all(this.#hosts.map((host) => isHostReady(host.readinessAddress)))).every(
          Boolean,
        ),
      20_000,
      'all hosts are ready',
    );
    await waitUntil(() => this.leader !== undefined, 10_000, 'a leader is elected');
    // A host is ready before its link to the new leader is open; until then it refuses to count jobs.
    for (const host of this.#hosts) {
      await waitUntil(
        async () => (await this.call(host, 'GET', '/renders/')).status === 200,
        10_000,
        `${host.name} reaches the leader`,
      );
    }
  }

  /** Host that holds the leader lease in the store; undefined if there is none. */
  public get leader(): SiteHost | undefined {
    const holder = this.store.get('toucanline/lead/holder') as
      { readonly host: string } | undefined;
    return this.#hosts.find(({ name }) => name === holder?.host);
  }

  /**
   * Writes a new version of the operator's configuration to the store.
   *
   * @param keys - API keys of the only client account
   */
  public writeConfiguration(keys: readonly string[]): void {
    this.#configurationVersion += 1;
    this.store.put('op/config', {
      Version: this.#configurationVersion,
      Routes: [createQueueConfiguration('renders', false), createQueueConfiguration('open', true)],
      Services: [{ Name: 'render', EnforcesCapacity: false }],
      Tenants: [{ Name: 'planning', ApiKeys: keys, Weight: 100 }],
      Limits: { MaxBodyBytes: this.#options.maxBodyBytes ?? 100_000 },
    });
  }

  /**
   * Sends a call to a host.
   *
   * @param host - the host
   * @param method - HTTP method
   * @param path - path of the call
   * @param body - text, or a value to encode as JSON
   * @param key - API key of the call
   * @returns status and decoded body
   * @throws Error if there is no such host
   */
  public async call(
    host: SiteHost | undefined,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    key = 'key-1',
  ): Promise<CallerAnswer> {
    if (host === undefined) throw new Error('no such host');
    const response = await request(`http://${host.callerAddress}${path}`, {
      method,
      headers: { host: 'site.example', authorization: `Token ${key}` },
      signal: AbortSignal.timeout(5000),
      ...(body === undefined
        ? {}
        : { body: typeof body === 'string' ? body : JSON.stringify(body) }),
    });
    const text = await response.body.text();
    return {
      status: response.statusCode,
      body: JSON.parse(text === '' ? '{}' : text) as CallerAnswer['body'],
    };
  }

  /**
   * Waits until a host returns the given state of a job.
   *
   * @param host - the host
   * @param path - path of the job
   * @param state - expected state
   * @param timeoutMs - longest wait in milliseconds
   */
  public async waitForState(
    host: SiteHost | undefined,
    path: string,
    state: string,
    timeoutMs = 10_000,
  ): Promise<void> {
    await waitUntil(
      async () => (await this.call(host, 'GET', path)).body.State === state,
      timeoutMs,
      `${path} is ${state}`,
    );
  }

  /**
   * Counts how often each task ended as done, over all workers.
   *
   * @returns number of completions by task
   */
  public countCompletions(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { endedRuns } of this.#workers) {
      for (const { task, outcome } of endedRuns) {
        if (outcome === 'done') counts.set(task, (counts.get(task) ?? 0) + 1);
      }
    }
    return counts;
  }

  /**
   * Kills a host and starts it again with the same settings.
   *
   * @param host - the host
   * @returns the new process, once it is ready
   */
  public async restartHost(host: SiteHost): Promise<SiteHost> {
    host.process.kill('SIGKILL');
    const restarted = this.startAgain(host);
    await waitUntil(
      () => isHostReady(restarted.readinessAddress),
      20_000,
      `${host.name} is ready again`,
    );
    return restarted;
  }

  /**
   * Starts a host that has ended again with the same settings, without waiting until it is ready.
   *
   * @param host - the host
   * @returns the new process
   */
  public startAgain(host: SiteHost): SiteHost {
    const started = { ...host, process: startHostProcess(this.#folder, host.name, this.#options) };
    this.#hosts.splice(this.#hosts.indexOf(host), 1, started);
    return started;
  }

  /** Kills the hosts and stops the workers and the store. */
  public stop(): void {
    for (const { process: child } of this.#hosts) child.kill('SIGKILL');
    for (const worker of this.#workers) worker.stop();
    this.store.stop();
  }

  async #addWorker(id: string): Promise<void> {
    const { dataCentres = ['dc1'] } = this.#options;
    const dataCentre = dataCentres[this.#workers.length % dataCentres.length];
    const worker = new PlatformWorkerFake(id, dataCentre, this.#options.monitor);
    await worker.start();
    this.#workers.push(worker);
    this.store.put(`servers/${id}`, worker.serverRecord);
  }

  async #addHost(name: string, linkMbps: number | undefined): Promise<void> {
    const [callerPort, readinessPort, linkPort, metricsPort] = [
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
    ];
    const { hostDataCentres = ['dc1'] } = this.#options;
    const dataCentre = hostDataCentres[this.#hosts.length % hostDataCentres.length] ?? '';
    const file = join(this.#folder, `${name}.conf`);
    writeFileSync(
      file,
      [
        `NodeName=${name}`,
        'Ip=127.0.0.1',
        `Zone=${dataCentre}`,
        `Listen.Front=127.0.0.1:${callerPort}`,
        `Listen.Readiness=127.0.0.1:${readinessPort}`,
        `PortRange=${linkPort},${metricsPort}`,
        `platform.Address=${this.store.address}`,
        'Unknown.Field=1',
        ...(linkMbps === undefined ? [] : [`Limits.LinkMbps=${linkMbps}`]),
        ...(this.#options.settingsLines ?? []),
      ].join('\n'),
    );
    this.#hosts.push({
      name,
      callerAddress: `127.0.0.1:${callerPort}`,
      readinessAddress: `127.0.0.1:${readinessPort}`,
      metricsAddress: `127.0.0.1:${metricsPort}`,
      linkAddress: `127.0.0.1:${linkPort}`,
      process: startHostProcess(this.#folder, name, this.#options),
    });
  }
}
