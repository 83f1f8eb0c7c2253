import type { Abuse } from './Abuse.js';

/** What a crowd of abusive clients does. */
export interface CrowdOrder {
  /** IP address and port of the server. */
  readonly address: string;
  /** Number of clients. Each has one connection at a time. */
  readonly clients: number;
  /** Time after which the clients stop, in milliseconds. */
  readonly durationMs: number;
  /** What each connection sends. */
  readonly abuse: Abuse;
}
