import type { MetadataStore, StoreDecoder, PlacementAdvisor, WorkerClient } from '@toucanline/jobs';
import type { ForecastNotice } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import type { HostMetrics } from './HostMetrics.js';
import type { HostTimes } from './HostTimes.js';
import type { EventLog } from './EventLog.js';

/** What the leader needs from its host. */
export interface LeaderDependencies {
  readonly store: MetadataStore;
  readonly decoder: StoreDecoder;
  readonly workerClient: WorkerClient;
  readonly advisor: PlacementAdvisor;
  /** Lists the links that other hosts have opened to this one. */
  readonly listPeerLinks: () => readonly Link[];
  /** Applies a forecast of the local leader on this host; undefined if no submissions are refused by forecasts. */
  readonly onForecast: ((forecast: ForecastNotice) => void) | undefined;
  readonly times: HostTimes;
  /** Processor time of this host per second, in seconds. */
  readonly processors: number;
  /** Whether the durations of tasks are learned from finished runs, or expected as declared. */
  readonly durationEstimates: 'learned' | 'declared';
  readonly log: EventLog;
  readonly metrics: HostMetrics;
  /** Called when a worker or the store shows that the leader lease is lost. */
  readonly onLeaseLost: (reason: string) => void;
  /** Gives up the leadership, so that another host can be elected at once. */
  readonly onResign: (reason: string) => Promise<void>;
  /** Checks whether a host with this fitness should lead in place of this one. */
  readonly isOutranked: (fitness: number) => boolean;
}
