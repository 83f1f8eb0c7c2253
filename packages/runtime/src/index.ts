/**
 * Services that the daemons of toucanline share: settings, log, metrics, events, peers and signals.
 *
 * @packageDocumentation
 */
export { addHealthRoutes } from './addHealthRoutes.js';
export { computeConnectionBudgets } from './computeConnectionBudgets.js';
export type { ConnectionBudgets } from './ConnectionBudgets.js';
export { ConnectionGuard } from './ConnectionGuard.js';
export { Daemon } from './Daemon.js';
export { DaemonCommand } from './DaemonCommand.js';
export { EventReplicator } from './EventReplicator.js';
export { hashText } from './hashText.js';
export { Log } from './Log.js';
export { Metrics } from './Metrics.js';
export { PeerSet } from './PeerSet.js';
export { ProcessRuntime } from './ProcessRuntime.js';
export { RefusalReporter } from './RefusalReporter.js';
export { startHttpService } from './startHttpService.js';
export { SystemClock } from './SystemClock.js';
export { SystemRandom } from './SystemRandom.js';
