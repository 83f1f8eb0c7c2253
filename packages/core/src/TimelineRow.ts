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
    readonly detail: string;
  }[];
  readonly marks: readonly {
    readonly kind: 'fault' | 'revision';
    readonly atMs: number;
    readonly detail: string;
  }[];
}
