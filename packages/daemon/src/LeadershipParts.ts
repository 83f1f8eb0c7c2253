import type { MetadataStore, StoreDecoder, PlacementAdvisor, WorkerClient } from '@toucanline/jobs';
import type { Link } from '@toucanline/wire';
import type { HostMetrics } from './HostMetrics.js';
import type { DecisionLog } from './DecisionLog.js';

/** What the leader's work needs of its host. */
export interface LeadershipParts {
  readonly store: MetadataStore;
  readonly operator: StoreDecoder;
  readonly control: WorkerClient;
  readonly advisor: PlacementAdvisor;
  readonly links: () => readonly Link[];
  /** Longest time that a worker takes to stop a run, in milliseconds. */
  readonly stopMs: number;
  readonly log: DecisionLog;
  readonly metrics: HostMetrics;
  /** Called when the claim proves to be lost. */
  readonly lost: (reason: string) => void;
}
