/** One line of the log of a host. */
export interface LogLine {
  /** Name of the event, such as `jobSubmitted`. */
  readonly event: string;
  /** Name of the process that wrote the line; `?` if the line has none. */
  readonly process: string;
  /** Unix time in milliseconds on the clock of the process. */
  readonly timeMs: number;
  /** Number that increases with each line of the process. */
  readonly sequence: number;
  /** Fields of the event by name. */
  readonly fields: Readonly<Record<string, string | number>>;
}
