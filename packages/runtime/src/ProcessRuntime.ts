import {
  ConfigurationHolder,
  KeyListAge,
  EventArchive,
  EventRecorder,
  EventStream,
  Invariant,
  KeyRing,
  mergeEvents,
  RevisionSync,
} from '@toucanline/core';
import { HttpHostList, HttpStore } from '@toucanline/clients';
import type { Event, Hello, ProcessSettings } from '@toucanline/schema';
import { computeConnectionBudgets } from './computeConnectionBudgets.js';
import { ConnectionGuard } from './ConnectionGuard.js';
import { Log } from './Log.js';
import { Metrics } from './Metrics.js';
import { ProcessRefusalReporter } from './ProcessRefusalReporter.js';
import { SystemClock } from './SystemClock.js';
import { SystemRandom } from './SystemRandom.js';

const defaultTimeoutMs = 1000;

/** Services that every daemon uses: clock, random source, events, log, metrics, platform clients and configuration. */
export class ProcessRuntime {
  public readonly settings: ProcessSettings;
  public readonly role: Hello['role'];
  public readonly clock = new SystemClock();
  public readonly random = new SystemRandom();
  public readonly eventStream = new EventStream();
  public readonly recorder: EventRecorder;
  /** Events that this process keeps for other processes. */
  public readonly eventArchive: EventArchive;
  public readonly invariant: Invariant;
  public readonly log: Log;
  public readonly metrics: Metrics;
  /** Limits the connections that others open to this process. */
  public readonly connectionGuard: ConnectionGuard;
  public readonly store: HttpStore;
  public readonly hostList: HttpHostList;
  public readonly configurationHolder: ConfigurationHolder;
  public readonly keyRing: KeyRing;
  public readonly keyListAge: KeyListAge;

  /**
   * @param settings - settings of the process
   * @param role - role of the process
   */
  public constructor(settings: ProcessSettings, role: Hello['role']) {
    this.settings = settings;
    this.role = role;
    const { process: name, dataCentre, platform } = settings;
    this.log = new Log(name, settings.logLevel ?? 'info');
    this.metrics = new Metrics(settings);
    this.connectionGuard = new ConnectionGuard(
      computeConnectionBudgets(settings.limits),
      new ProcessRefusalReporter(this.log, this.metrics),
    );
    this.recorder = new EventRecorder(this.clock, this.eventStream, name, dataCentre);
    this.eventArchive = new EventArchive(name);
    this.eventStream.on('events', (events) => {
      for (const event of events) {
        this.log.writeEvent(event);
        this.metrics.countEvent(event);
      }
    });
    this.invariant = new Invariant(this.recorder, false);
    const timeoutMs = platform.timeoutMs ?? defaultTimeoutMs;
    this.store = new HttpStore(platform.store, timeoutMs);
    this.hostList = new HttpHostList(platform.hosts, timeoutMs);
    this.configurationHolder = new ConfigurationHolder(this.recorder);
    this.keyRing = new KeyRing(this.recorder);
    this.keyListAge = new KeyListAge(this.clock);
  }

  /** Hello frame with which this process introduces itself on links. */
  public get hello(): Hello {
    const { environment, process: name, dataCentre } = this.settings;
    return { type: 'hello', protocol: 1, environment, process: name, role: this.role, dataCentre };
  }

  /**
   * Keeps configuration and keys in sync with the store.
   *
   * @param isWatcher - returns whether this process currently watches the store
   * @param onChange - called after a newer revision was applied
   * @returns the running synchronisation
   */
  public followRevisions(isWatcher: () => boolean, onChange: () => void): RevisionSync {
    const { store, clock, configurationHolder, keyRing, keyListAge } = this;
    const sync = new RevisionSync(
      { store, clock, configurationHolder, keyRing, keyListAge, isWatcher, onChange },
      this.settings.environment,
    );
    sync.start();
    return sync;
  }

  /**
   * Lists the events of this process and those that it keeps for other processes.
   *
   * @param sinceMs - wall-clock time of the oldest event to list, in milliseconds since the Unix epoch
   * @param requestId - restricts the list to one request
   * @returns the events in the order of their stamps
   */
  public listEvents(sinceMs: number, requestId?: string): readonly Event[] {
    const { recorder, eventArchive: archive } = this;
    return mergeEvents([recorder.list(sinceMs, requestId), archive.list(sinceMs, requestId)]);
  }

  /** Closes the connections to the platform and the socket of the metrics. */
  public async close(): Promise<void> {
    await Promise.all([this.store.close(), this.hostList.close()]);
    this.metrics.close();
  }
}
