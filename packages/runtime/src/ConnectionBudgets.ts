import type { LinkBudgets } from '@toucanline/wire';

/** Budgets of the connections that others open to a process. */
export interface ConnectionBudgets {
  /** Maximum number of connections to the port of callers. */
  readonly maxCallerConnections: number;
  /** Maximum number of connections to each service port (health, readiness, metrics). */
  readonly maxServiceConnections: number;
  /** Bytes that requests of callers may occupy until they are answered. */
  readonly maxCallerBytes: number;
  /** Bytes that requests to each service port may occupy until they are answered. */
  readonly maxServiceBytes: number;
  /** Maximum number of unanswered requests of one connection; further ones are not parsed until then. */
  readonly maxPipelinedRequests: number;
  /** Maximum time for receiving a request, and for a caller to take a response, in milliseconds. */
  readonly requestMs: number;
  readonly links: LinkBudgets;
}
