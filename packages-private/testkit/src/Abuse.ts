/** What one abusive connection sends. */
export interface Abuse {
  /** Bytes that are sent once, at the start. */
  readonly first: Buffer;
  /** Bytes that are sent after them, again and again. */
  readonly repeated: Buffer;
  /** Number of times for which `repeated` is sent. */
  readonly repeats: number;
  /** Bytes that are sent once, at the end; nothing by default. */
  readonly last?: Buffer;
  /** Whether the client leaves everything unread that it receives. */
  readonly isUnread: boolean;
}
