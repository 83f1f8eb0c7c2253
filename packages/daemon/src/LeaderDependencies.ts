import type { MetadataStore, StoreDecoder, PlacementAdvisor, WorkerClient } from '@toucanline/jobs';
import type { Link } from '@toucanline/wire';
import type { HostMetrics } from './HostMetrics.js';
import type { EventLog } from './EventLog.js';

/** What the leader's work needs of its host. */
export interface LeaderDependencies {
  readonly store: MetadataStore;
  readonly decoder: StoreDecoder;
  readonly control: WorkerClient;
  readonly advisor: PlacementAdvisor;
  readonly listPeerLinks: () => readonly Link[];
  /** Longest time that a worker takes to stop a run, in milliseconds. */
  readonly stopMs: number;
  readonly log: EventLog;
  readonly metrics: HostMetrics;
  /** Called when the claim proves to be lost. */
  readonly lost: (reason: string) => void;
}
