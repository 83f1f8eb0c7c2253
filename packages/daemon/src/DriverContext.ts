import type { Scheduler, WorkerClient } from '@toucanline/jobs';
import type { DecisionLog } from './DecisionLog.js';
import type { LeaderClaim } from './LeaderClaim.js';

/** What the drivers of a leader's workers share. */
export interface DriverContext {
  readonly scheduler: Scheduler;
  readonly control: WorkerClient;
  readonly claim: LeaderClaim;
  readonly log: DecisionLog;
  /** Pause between two reports of a worker, in milliseconds: the longer, the more workers are busy. */
  readonly reportPauseMs: () => number;
  /** Called when something changed that may allow new decisions. */
  readonly changed: () => void;
  /** Called when a worker has seen a newer fencing token. */
  readonly fenced: () => void;
}
