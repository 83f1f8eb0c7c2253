import type { Event, EventName } from '@toucanline/schema';
import type { TimelineRow } from './TimelineRow.js';

/** Events that begin a span, the field that names it, and where it is drawn. */
const beginnings: ReadonlyMap<EventName, SpanRule> = new Map([
  ['requestAdmitted', { field: 'requestId', kind: 'request', row: 'process' }],
  ['taskStarted', { field: 'taskId', kind: 'task', row: 'worker' }],
  ['taskAdopted', { field: 'taskId', kind: 'task', row: 'worker' }],
  ['claimTaken', { field: 'shard', kind: 'claim', row: 'process' }],
] as const);

/** Events that end a span of a kind. */
const endings: ReadonlyMap<EventName, SpanRule['kind']> = new Map([
  ['requestFinished', 'request'],
  ['taskFinished', 'task'],
  ['taskStopped', 'task'],
  ['leaseLapsed', 'task'],
  ['claimLost', 'claim'],
  ['claimHandedOver', 'claim'],
] as const);

const faults: ReadonlySet<EventName> = new Set([
  'claimLost',
  'invariantViolated',
  'lateAnswerDropped',
  'leaseLapsed',
  'linkClosed',
  'processStopping',
  'storeUnreachable',
  'taskRefused',
  'workerLost',
  'workerQuarantined',
]);

const revisions: ReadonlySet<EventName> = new Set(['revisionApplied', 'keysApplied']);

/** How a span begins. */
interface SpanRule {
  readonly field: 'requestId' | 'taskId' | 'shard';
  readonly kind: 'request' | 'task' | 'claim';
  readonly row: 'process' | 'worker';
}

/** A span whose end is not known yet. */
interface OpenSpan {
  readonly row: string;
  readonly kind: SpanRule['kind'];
  readonly name: string;
  readonly fromMs: number;
  readonly detail: string;
}

/** A row that is being built; what leaves the class is read-only. */
interface GrowingRow extends Omit<TimelineRow, 'spans' | 'marks'> {
  readonly spans: TimelineRow['spans'][number][];
  readonly marks: TimelineRow['marks'][number][];
}

const describe = (event: Event): string =>
  [event.name, event.requestId, event.taskId, event.team, event.detail]
    .filter((part) => part !== undefined)
    .join(' ');

/** Rows with spans and marks, built from the events of all processes. */
export class Timeline {
  readonly #rows = new Map<string, GrowingRow>();
  readonly #open = new Map<string, OpenSpan>();
  readonly #fromMs: number;
  readonly #toMs: number;

  /** @param events - events in the order of their stamps */
  public constructor(events: readonly Event[]) {
    this.#fromMs = events[0]?.stamp.wallMs ?? 0;
    this.#toMs = Math.max(this.#fromMs + 1, events.at(-1)?.stamp.wallMs ?? 0);
    for (const event of events) this.#add(event);
    for (const [key, span] of this.#open) this.#close(key, span, this.#toMs, 'not ended');
  }

  /** Wall time of the first event in milliseconds. */
  public get fromMs(): number {
    return this.#fromMs;
  }

  /** Wall time of the last event in milliseconds. */
  public get toMs(): number {
    return this.#toMs;
  }

  /** Rows: processes first, then workers, each in the order of their names. */
  public get rows(): readonly TimelineRow[] {
    return [...this.#rows.values()].sort(
      (left, right) =>
        left.kind.localeCompare(right.kind) ||
        left.dataCentre.localeCompare(right.dataCentre) ||
        left.name.localeCompare(right.name),
    );
  }

  #add(event: Event): void {
    const atMs = event.stamp.wallMs;
    const rowKey = this.#findRow(event, 'process');
    const beginning = beginnings.get(event.name);
    if (beginning !== undefined) this.#begin(event, beginning);
    const ending = endings.get(event.name);
    if (ending !== undefined) this.#end(event, ending);
    const kind = faults.has(event.name)
      ? 'fault'
      : revisions.has(event.name)
        ? 'revision'
        : undefined;
    if (kind !== undefined) this.#mark(rowKey, { kind, atMs, detail: describe(event) });
  }

  #begin(event: Event, { field, kind, row }: SpanRule): void {
    const name = event[field];
    const key = this.#nameSpan(event, kind);
    if (name === undefined || this.#open.has(key)) return;
    this.#open.set(key, {
      row: this.#findRow(event, row),
      kind,
      name,
      fromMs: event.stamp.wallMs,
      detail: describe(event),
    });
  }

  #end(event: Event, kind: SpanRule['kind']): void {
    const key = this.#nameSpan(event, kind);
    const span = this.#open.get(key);
    if (span !== undefined) this.#close(key, span, event.stamp.wallMs, describe(event));
  }

  /** A claim belongs to its process; requests and tasks keep their names wherever they end. */
  #nameSpan(event: Event, kind: SpanRule['kind']): string {
    if (kind === 'claim') return `claim|${event.process}|${event.shard ?? ''}`;
    return `${kind}|${(kind === 'task' ? event.taskId : event.requestId) ?? ''}`;
  }

  #close(key: string, span: OpenSpan, toMs: number, ending: string): void {
    this.#open.delete(key);
    const row = this.#rows.get(span.row);
    if (row === undefined) return;
    const { kind, name, fromMs, detail } = span;
    const closed = { kind, name, fromMs, toMs, detail: `${detail} … ${ending}` };
    row.spans.push(closed);
  }

  #mark(rowKey: string, mark: TimelineRow['marks'][number]): void {
    this.#rows.get(rowKey)?.marks.push(mark);
  }

  #findRow({ process, worker, dataCentre }: Event, wanted: SpanRule['row']): string {
    const kind = wanted === 'worker' && worker !== undefined ? 'worker' : 'process';
    const name = kind === 'worker' ? (worker ?? process) : process;
    const key = `${kind}|${name}`;
    if (!this.#rows.has(key)) this.#rows.set(key, { kind, name, dataCentre, spans: [], marks: [] });
    return key;
  }
}
