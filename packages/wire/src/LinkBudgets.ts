/** Budgets of the links that other processes open to this one. */
export interface LinkBudgets {
  /** Maximum number of open links. */
  readonly maxLinks: number;
  /** Maximum number of them whose peer has not sent a valid hello. */
  readonly maxUnidentifiedLinks: number;
  /** Bytes that a link may buffer before the hello of its peer is complete. */
  readonly maxUnidentifiedBytes: number;
  /** Time within which a peer has to send its hello, in milliseconds. */
  readonly helloMs: number;
  /** Bytes of unfinished frames that all links together may buffer. */
  readonly maxBufferedBytes: number;
}
