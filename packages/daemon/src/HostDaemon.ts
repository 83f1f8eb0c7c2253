import {
  ForecastAdmission,
  type MetadataStore,
  type PlacementAdvisor,
  type StoreDecoder,
  type WorkerClient,
} from '@toucanline/jobs';
import { computeConnectionBudgets } from '@toucanline/runtime/computeConnectionBudgets';
import { ConnectionGuard } from '@toucanline/runtime/ConnectionGuard';
import type { ForecastNotice, Hello } from '@toucanline/schema';
import { computeHostTimes } from './computeHostTimes.js';
import { ConfigurationWatch } from './ConfigurationWatch.js';
import { EventLog } from './EventLog.js';
import { Election } from './Election.js';
import type { DaemonSettings } from './DaemonSettings.js';
import { HostMetrics } from './HostMetrics.js';
import { HostRefusalReporter } from './HostRefusalReporter.js';
import { hostLimits } from './hostLimits.js';
import { JobService } from './JobService.js';
import { LeaderController } from './LeaderController.js';
import { MonitoredStore } from './MonitoredStore.js';
import { PeerLinks } from './PeerLinks.js';
import { LeaderRouter } from './LeaderRouter.js';
import { StoreHealth } from './StoreHealth.js';

/** Adapters that the host environment provides. */
interface HostDependencies {
  readonly store: MetadataStore;
  readonly decoder: StoreDecoder;
  readonly workerClient: WorkerClient;
  readonly advisor: PlacementAdvisor;
}

/** Version of the protocol between hosts. */
const linkProtocolVersion = 2;

/** One host of the site: serves callers, takes part in the leader election, and runs the leader while elected. */
export class HostDaemon {
  /** Service that handles the calls of callers. */
  public readonly jobs: JobService;
  /** Metrics of this process. */
  public readonly metrics = new HostMetrics();
  /** Event log of this process. */
  public readonly log: EventLog;
  /** Limits the connections that others open to this process. */
  public readonly connectionGuard: ConnectionGuard;
  readonly #storeHealth: StoreHealth;
  readonly #store: MonitoredStore;
  readonly #configuration: ConfigurationWatch;
  readonly #election: Election;
  readonly #links: PeerLinks;
  #leader: LeaderController | undefined;
  #isDraining = false;

  /**
   * @param settings - settings of this host
   * @param dependencies - adapters that the host environment provides
   */
  public constructor(settings: DaemonSettings, dependencies: HostDependencies) {
    this.log = new EventLog(settings.name, this.metrics);
    const { memoryMb, maxDescriptors } = settings;
    this.connectionGuard = new ConnectionGuard(
      computeConnectionBudgets({ memoryMb, maxDescriptors }),
      new HostRefusalReporter(this.log, this.metrics),
    );
    this.#storeHealth = new StoreHealth(this.log);
    const store = new MonitoredStore(dependencies.store, this.#storeHealth);
    this.#store = store;
    const times = computeHostTimes(settings);
    this.#configuration = new ConfigurationWatch(
      store,
      dependencies.decoder,
      this.log,
      times.configurationWatchMs,
    );
    const hello: Hello = {
      type: 'hello',
      protocol: linkProtocolVersion,
      environment: 'platform',
      process: settings.name,
      role: 'host',
      dataCentre: settings.dataCentre,
      leaderFitness: settings.leaderFitness,
    };
    const getLocalLeader = (): LeaderController | undefined => this.#leader;
    const admission =
      settings.admission === 'forecast' ? new ForecastAdmission(Math.random) : undefined;
    const applyForecast = (forecast: ForecastNotice): void => {
      admission?.apply(forecast, performance.now());
    };
    this.#links = new PeerLinks(
      hello,
      settings.linkAddress,
      dependencies.advisor,
      getLocalLeader,
      this.connectionGuard,
      applyForecast,
    );
    const leaderClient = new LeaderRouter(this.#links, getLocalLeader);
    this.jobs = new JobService(
      store,
      this.#storeHealth,
      this.#configuration,
      leaderClient,
      this.log,
      times.maxConfigurationAgeMs,
      admission,
      this.metrics,
    );
    const { name, linkAddress, leaderFitness } = settings;
    this.#election = new Election(store, name, linkAddress, leaderFitness, this.log, {
      onElected: (leaderLease) => {
        const controller = new LeaderController(
          {
            ...dependencies,
            store,
            listPeerLinks: () => this.#links.incomingLinks,
            onForecast: admission && applyForecast,
            times,
            processors: settings.processors,
            durationEstimates: settings.durationEstimates,
            log: this.log,
            metrics: this.metrics,
            onLeaseLost: (reason) => {
              this.#election.stepDown(reason);
            },
            onResign: (reason) => this.#election.resign(reason),
            isOutranked: (fitness) => this.#election.isOutranked(fitness),
          },
          leaderLease,
          this.#configuration.current,
        );
        this.#leader = controller;
        void controller.start();
      },
      onDeposed: () => {
        this.#leader?.stop();
        this.#leader = undefined;
      },
      onLeaderChange: (record) => {
        this.#links.connectToLeader(record?.address);
      },
    });
    this.#configuration.onChange((configuration) => {
      this.#leader?.configure(configuration);
    });
  }

  /** Whether the host accepts new connections: it knows a configuration and the store has answered recently. */
  public get isReady(): boolean {
    return (
      !this.#isDraining &&
      this.#configuration.current !== undefined &&
      this.#storeHealth.lastAnswerAgeMs < hostLimits.storeSilenceLimitMs
    );
  }

  /** Largest body of a call, in bytes, by the configuration in effect; undefined if there is none. */
  public get maxBodyBytes(): number | undefined {
    return this.#configuration.current?.maxBodyBytes;
  }

  /** Whether the host is shutting down. */
  public get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Starts to listen for other hosts, to watch the configuration and to take part in the election. */
  public async start(): Promise<void> {
    await this.#links.listen();
    void this.#store.sendPings();
    this.#configuration.start();
    this.#election.start();
  }

  /** Reports the host as not ready, writes pending progress and gives up the leader lease. */
  public async drain(): Promise<void> {
    this.#isDraining = true;
    await this.#leader?.flushProgress();
    await this.#election.stop();
  }

  /** Stops the background tasks, closes the links and flushes the log. */
  public close(): void {
    this.#store.stopPings();
    this.#configuration.stop();
    this.#links.close();
    this.log.flush();
  }
}
