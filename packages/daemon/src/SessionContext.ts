import type { Scheduler, WorkerClient } from '@toucanline/jobs';
import type { EventLog } from './EventLog.js';
import type { LeaderLease } from './LeaderLease.js';

/** What the drivers of a leader's workers share. */
export interface SessionContext {
  readonly scheduler: Scheduler;
  readonly control: WorkerClient;
  readonly leaderLease: LeaderLease;
  readonly log: EventLog;
  /** Pause between two reports of a worker, in milliseconds: the longer, the more workers are busy. */
  readonly reportPauseMs: () => number;
  /** Called when something changed that may allow new decisions. */
  readonly onChange: () => void;
  /** Called when a worker has seen a newer fencing token. */
  readonly onFenced: () => void;
}
