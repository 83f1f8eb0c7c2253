/**
 * Process of one host: job service, leader election and the leader.
 *
 * @packageDocumentation
 */
export { computeHostTimes } from './computeHostTimes.js';
export { computeLeaderFitness } from './computeLeaderFitness.js';
export { EventLog } from './EventLog.js';
export type { DaemonSettings } from './DaemonSettings.js';
export { HostDaemon } from './HostDaemon.js';
export { hostLimits } from './hostLimits.js';
export { JobService } from './JobService.js';
export { HostMetrics } from './HostMetrics.js';
