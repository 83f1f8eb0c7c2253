/** One row of the timeline: what happened at one process or worker. */
export interface TimelineRow {
  readonly kind: 'process' | 'worker';
  readonly name: string;
  readonly dataCentre: string;
  readonly spans: readonly {
    readonly kind: 'request' | 'task' | 'claim';
    readonly name: string;
    readonly fromMs: number;
    readonly toMs: number;
    /** Wall time at which the first task of a request started. */
    readonly startedMs?: number;
    /** `open` if the end is not among the events; `bad` if it ended otherwise than by success. */
    readonly outcome: 'good' | 'bad' | 'open';
    readonly detail: string;
  }[];
  readonly marks: readonly {
    readonly kind: 'fault' | 'revision';
    readonly atMs: number;
    readonly detail: string;
  }[];
}
