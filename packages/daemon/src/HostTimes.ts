import type { WorkerBounds } from '@toucanline/jobs';
import type { EvacuationTimes } from './EvacuationTimes.js';

/** Times of a host process that depend on the bounds of the site, in milliseconds. */
export interface HostTimes {
  readonly worker: WorkerBounds;
  /** Longest time for which a worker delays a report until a run ends. */
  readonly reportWaitMs: number;
  /** Time for which the state of a finished job stays readable. */
  readonly retentionMs: number;
  /** Age of the confirmation of a configuration from which it is read again before a keyed call is accepted. */
  readonly maxConfigurationAgeMs: number;
  /** Longest wait of one watch call for the configuration. */
  readonly configurationWatchMs: number;
  /** Times that keep the bound for evacuations; absent if data centres are not evacuated. */
  readonly evacuation?: EvacuationTimes;
  /** Time for which a stopping host still accepts connections. */
  readonly drainMs: number;
}
