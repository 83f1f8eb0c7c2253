import type { Scheduler, WorkerClient } from '@toucanline/jobs';
import type { EventLog } from './EventLog.js';
import type { LeaderLease } from './LeaderLease.js';
import type { ReportPacing } from './ReportPacing.js';

/** What all worker sessions of a leader share. */
export interface SessionContext {
  readonly scheduler: Scheduler;
  readonly workerClient: WorkerClient;
  readonly leaderLease: LeaderLease;
  readonly log: EventLog;
  /** Longest time for which a worker delays a report until a run ends, in milliseconds. */
  readonly reportWaitMs: number;
  /** Interval of the reports of an idle worker, in milliseconds; absent if idle workers need not report. */
  readonly idleReportMs?: number;
  /** Controls the pause between two reports of a worker. */
  readonly pacing: ReportPacing;
  /** Called when a change may allow new decisions. */
  readonly onChange: () => void;
  /** Called when a worker has seen a newer fencing token. */
  readonly onFenced: () => void;
}
