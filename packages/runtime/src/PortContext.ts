import type { RefusalReason } from '@toucanline/schema';
import type { TurnQueue } from '@toucanline/wire';
import type { ConnectionBudgets } from './ConnectionBudgets.js';
import type { ResourceLedger } from './ResourceLedger.js';

/** What the connections of one port share. */
export interface PortContext {
  readonly budgets: ConnectionBudgets;
  /** Number of connections to the port. */
  readonly connections: ResourceLedger;
  /** Bytes that unanswered requests to the port, and received bytes that wait to be parsed, occupy. */
  readonly bytes: ResourceLedger;
  /** Shares the time for parsing between the connections of all ports. */
  readonly turns: TurnQueue;
  /** Reports a refused or closed connection. */
  readonly report: (reason: RefusalReason) => void;
}
