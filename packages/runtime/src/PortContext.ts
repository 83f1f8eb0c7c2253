import type { RefusalReason } from '@toucanline/schema';
import type { ConnectionBudgets } from './ConnectionBudgets.js';
import type { ResourceLedger } from './ResourceLedger.js';

/** What the connections of one port share. */
export interface PortContext {
  readonly budgets: ConnectionBudgets;
  /** Number of connections to the port. */
  readonly connections: ResourceLedger;
  /** Bytes that unanswered requests to the port occupy. */
  readonly bytes: ResourceLedger;
  /** Reports a refused or closed connection. */
  readonly report: (reason: RefusalReason) => void;
}
