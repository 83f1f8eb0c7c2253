/** One row of the timeline: spans and marks of one process or worker. All times are wall times in milliseconds. */
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
    /** `good` if the span ended successfully, `bad` if not, `open` if its end is not among the events. */
    readonly outcome: 'good' | 'bad' | 'open';
    readonly detail: string;
  }[];
  readonly marks: readonly {
    readonly kind: 'fault' | 'revision';
    readonly atMs: number;
    readonly detail: string;
  }[];
}
