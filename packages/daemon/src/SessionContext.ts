import type { Scheduler, WorkerClient } from '@toucanline/jobs';
import type { EventLog } from './EventLog.js';
import type { LeaderLease } from './LeaderLease.js';

/** What all worker sessions of a leader share. */
export interface SessionContext {
  readonly scheduler: Scheduler;
  readonly workerClient: WorkerClient;
  readonly leaderLease: LeaderLease;
  readonly log: EventLog;
  /** Returns the pause between two reports of a worker, in milliseconds; it grows with the number of busy workers. */
  readonly getReportPauseMs: () => number;
  /** Called when a change may allow new decisions. */
  readonly onChange: () => void;
  /** Called when a worker has seen a newer fencing token. */
  readonly onFenced: () => void;
}
