import type { MetadataStore, StoreDecoder, PlacementAdvisor, WorkerClient } from '@toucanline/jobs';
import type { Hello } from '@toucanline/schema';
import { ConfigurationWatch } from './ConfigurationWatch.js';
import { DecisionLog } from './DecisionLog.js';
import { Election } from './Election.js';
import type { HostConfiguration } from './HostConfiguration.js';
import { HostMetrics } from './HostMetrics.js';
import { hostTimes } from './hostTimes.js';
import { JobService } from './JobService.js';
import { Leadership } from './Leadership.js';
import { ObservedStore } from './ObservedStore.js';
import { PeerLinks } from './PeerLinks.js';
import { RemoteLeader } from './RemoteLeader.js';
import { StoreContact } from './StoreContact.js';

/** What the host environment provides. */
interface HostParts {
  readonly store: MetadataStore;
  readonly operator: StoreDecoder;
  readonly control: WorkerClient;
  readonly advisor: PlacementAdvisor;
}

/** Version of the messages between hosts. */
const linkProtocol = 1;

/** One host: its service for callers, and its part in the election and the leader's work. */
export class HostDaemon {
  /** Answers callers. */
  public readonly jobs: JobService;
  /** Metrics of the process. */
  public readonly metrics = new HostMetrics();
  /** Log of the process. */
  public readonly log: DecisionLog;
  readonly #contact: StoreContact;
  readonly #store: ObservedStore;
  readonly #configuration: ConfigurationWatch;
  readonly #election: Election;
  readonly #links: PeerLinks;
  #leadership: Leadership | undefined;
  #isDraining = false;

  /**
   * @param settings - settings of the host
   * @param parts - what the host environment provides
   */
  public constructor(settings: HostConfiguration, parts: HostParts) {
    this.log = new DecisionLog(settings.name, this.metrics);
    this.#contact = new StoreContact(this.log);
    const store = new ObservedStore(parts.store, this.#contact);
    this.#store = store;
    this.#configuration = new ConfigurationWatch(store, parts.operator, this.log);
    const hello: Hello = {
      type: 'hello',
      protocol: linkProtocol,
      environment: 'platform',
      process: settings.name,
      role: 'host',
      dataCentre: settings.dataCentre,
    };
    const leadership = (): Leadership | undefined => this.#leadership;
    this.#links = new PeerLinks(hello, settings.linkAddress, parts.advisor, leadership);
    const leader = new RemoteLeader(this.#links, leadership);
    this.jobs = new JobService(
      store,
      this.#contact,
      this.#configuration,
      leader,
      this.log,
      settings.revokeMs,
    );
    this.#election = new Election(store, settings.name, settings.linkAddress, this.log, {
      elected: (claim) => {
        const work = new Leadership(
          {
            ...parts,
            store,
            links: () => this.#links.incoming,
            stopMs: settings.stopMs,
            log: this.log,
            metrics: this.metrics,
            lost: (reason) => {
              this.#election.abandon(reason);
            },
          },
          claim,
          this.#configuration.current,
        );
        this.#leadership = work;
        void work.start();
      },
      deposed: () => {
        this.#leadership?.stop();
        this.#leadership = undefined;
      },
      observed: (record) => {
        this.#links.follow(record?.address);
      },
    });
    this.#configuration.onChange((configuration) => {
      this.#leadership?.configure(configuration);
    });
  }

  /** Whether new connections are welcome. */
  public get isReady(): boolean {
    return (
      !this.#isDraining &&
      this.#configuration.current !== undefined &&
      this.#contact.silenceMs < hostTimes.storeSilenceMs
    );
  }

  /** Whether the host is stopping. */
  public get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Starts to follow the configuration and to take part in the election. */
  public async start(): Promise<void> {
    await this.#links.listen();
    void this.#store.run();
    this.#configuration.start();
    this.#election.start();
  }

  /** Takes no new connections, and hands the leader's work over. */
  public async drain(): Promise<void> {
    this.#isDraining = true;
    await this.#leadership?.finish();
    await this.#election.stop();
  }

  /** Ends what is left. */
  public close(): void {
    this.#store.stop();
    this.#configuration.stop();
    this.#links.close();
    this.log.flush();
  }
}
