/** One line of a host's log. */
export interface LogLine {
  readonly event: string;
  readonly process: string;
  /** Unix time in milliseconds on the clock of the process. */
  readonly timeMs: number;
  /** Number that rises within the process. */
  readonly sequence: number;
  readonly fields: Readonly<Record<string, string | number>>;
}
