import type { MetadataStore, StoreDecoder, PlacementAdvisor, WorkerClient } from '@toucanline/jobs';
import type { Hello } from '@toucanline/schema';
import { ConfigurationWatch } from './ConfigurationWatch.js';
import { EventLog } from './EventLog.js';
import { Election } from './Election.js';
import type { DaemonSettings } from './DaemonSettings.js';
import { HostMetrics } from './HostMetrics.js';
import { hostLimits } from './hostLimits.js';
import { JobService } from './JobService.js';
import { LeaderController } from './LeaderController.js';
import { MonitoredStore } from './MonitoredStore.js';
import { PeerLinks } from './PeerLinks.js';
import { LeaderRouter } from './LeaderRouter.js';
import { StoreHealth } from './StoreHealth.js';

/** What the host environment provides. */
interface HostDependencies {
  readonly store: MetadataStore;
  readonly decoder: StoreDecoder;
  readonly control: WorkerClient;
  readonly advisor: PlacementAdvisor;
}

/** Version of the messages between hosts. */
const linkProtocolVersion = 1;

/** One host: its service for callers, and its part in the election and the leader's work. */
export class HostDaemon {
  /** Answers callers. */
  public readonly jobs: JobService;
  /** Metrics of the process. */
  public readonly metrics = new HostMetrics();
  /** Log of the process. */
  public readonly log: EventLog;
  readonly #storeHealth: StoreHealth;
  readonly #store: MonitoredStore;
  readonly #configuration: ConfigurationWatch;
  readonly #election: Election;
  readonly #links: PeerLinks;
  #leader: LeaderController | undefined;
  #isDraining = false;

  /**
   * @param settings - settings of the host
   * @param parts - what the host environment provides
   */
  public constructor(settings: DaemonSettings, parts: HostDependencies) {
    this.log = new EventLog(settings.name, this.metrics);
    this.#storeHealth = new StoreHealth(this.log);
    const store = new MonitoredStore(parts.store, this.#storeHealth);
    this.#store = store;
    this.#configuration = new ConfigurationWatch(store, parts.decoder, this.log);
    const hello: Hello = {
      type: 'hello',
      protocol: linkProtocolVersion,
      environment: 'platform',
      process: settings.name,
      role: 'host',
      dataCentre: settings.dataCentre,
    };
    const leadership = (): LeaderController | undefined => this.#leader;
    this.#links = new PeerLinks(hello, settings.linkAddress, parts.advisor, leadership);
    const leader = new LeaderRouter(this.#links, leadership);
    this.jobs = new JobService(
      store,
      this.#storeHealth,
      this.#configuration,
      leader,
      this.log,
      settings.revokeMs,
    );
    this.#election = new Election(store, settings.name, settings.linkAddress, this.log, {
      onElected: (claim) => {
        const work = new LeaderController(
          {
            ...parts,
            store,
            listPeerLinks: () => this.#links.incomingLinks,
            stopMs: settings.stopMs,
            log: this.log,
            metrics: this.metrics,
            lost: (reason) => {
              this.#election.stepDown(reason);
            },
          },
          claim,
          this.#configuration.current,
        );
        this.#leader = work;
        void work.start();
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

  /** Whether new connections are welcome. */
  public get isReady(): boolean {
    return (
      !this.#isDraining &&
      this.#configuration.current !== undefined &&
      this.#storeHealth.lastAnswerAgeMs < hostLimits.storeSilenceLimitMs
    );
  }

  /** Whether the host is stopping. */
  public get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Starts to follow the configuration and to take part in the election. */
  public async start(): Promise<void> {
    await this.#links.listen();
    void this.#store.sendPings();
    this.#configuration.start();
    this.#election.start();
  }

  /** Takes no new connections, and hands the leader's work over. */
  public async drain(): Promise<void> {
    this.#isDraining = true;
    await this.#leader?.flushProgress();
    await this.#election.stop();
  }

  /** Ends what is left. */
  public close(): void {
    this.#store.stopPings();
    this.#configuration.stop();
    this.#links.close();
    this.log.flush();
  }
}
