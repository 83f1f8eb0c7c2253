/**
 * Process of a host.
 *
 * @packageDocumentation
 */
export { DecisionLog } from './DecisionLog.js';
export type { HostConfiguration } from './HostConfiguration.js';
export { HostDaemon } from './HostDaemon.js';
export { hostTimes } from './hostTimes.js';
export { JobService } from './JobService.js';
export { HostMetrics } from './HostMetrics.js';
