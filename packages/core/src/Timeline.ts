import type { Event, EventName } from '@toucanline/schema';
import type { TimelineRow } from './TimelineRow.js';

/** Events that start a span, with the field that identifies it and the row in which it is drawn. */
const spanStarts: ReadonlyMap<EventName, SpanRule> = new Map([
  ['requestAdmitted', { field: 'requestId', kind: 'request', row: 'process' }],
  ['taskStarted', { field: 'taskId', kind: 'task', row: 'worker' }],
  ['taskAdopted', { field: 'taskId', kind: 'task', row: 'worker' }],
  ['claimTaken', { field: 'shard', kind: 'claim', row: 'process' }],
] as const);

/** Events that end a span, with the kind of the span. */
const spanEnds: ReadonlyMap<EventName, SpanRule['kind']> = new Map([
  ['requestFinished', 'request'],
  ['taskFinished', 'task'],
  ['taskStopped', 'task'],
  ['leaseLapsed', 'task'],
  ['claimLost', 'claim'],
  ['claimHandedOver', 'claim'],
] as const);

const faultEvents: ReadonlySet<EventName> = new Set([
  'claimLost',
  'dataCentreDeclared',
  'eventsDropped',
  'invariantViolated',
  'lateAnswerDropped',
  'leaseLapsed',
  'linkClosed',
  'processStopping',
  'storeUnreachable',
  'taskRefused',
  'workReleased',
  'workTakenOver',
  'workerLeaving',
  'workerLost',
  'workerQuarantined',
]);

const revisionEvents: ReadonlySet<EventName> = new Set(['revisionApplied', 'keysApplied']);

/** Rule for the start of a span. */
interface SpanRule {
  readonly field: 'requestId' | 'taskId' | 'shard';
  readonly kind: 'request' | 'task' | 'claim';
  readonly row: 'process' | 'worker';
}

/** Span whose end is not known yet. */
interface OpenSpan {
  readonly row: string;
  readonly kind: SpanRule['kind'];
  readonly name: string;
  readonly fromMs: number;
  readonly startedMs?: number;
  readonly detail: string;
}

/** End of a span. */
interface SpanEnd {
  readonly toMs: number;
  readonly outcome: TimelineRow['spans'][number]['outcome'];
  readonly detail: string;
}

/** Row under construction; the class exposes it as read-only. */
interface MutableRow extends Omit<TimelineRow, 'spans' | 'marks'> {
  readonly spans: TimelineRow['spans'][number][];
  readonly marks: TimelineRow['marks'][number][];
}

/** Events that end a span unsuccessfully, whatever their detail is. */
const failedEnds: ReadonlySet<EventName> = new Set([
  'claimLost',
  'leaseLapsed',
  'taskStopped',
] as const);

const classifyOutcome = ({ name, detail = '' }: Event): 'good' | 'bad' => {
  if (failedEnds.has(name)) return 'bad';
  const isSuccess = name === 'claimHandedOver' || detail.startsWith('succeeded');
  return isSuccess ? 'good' : 'bad';
};

const describeRevision = ({ revision }: Event): string | undefined =>
  revision === undefined ? undefined : String(revision);

const describe = (event: Event): string =>
  [
    event.name,
    describeRevision(event),
    event.requestId,
    event.taskId,
    event.team,
    event.shard,
    event.worker,
    event.detail,
  ]
    .filter((part) => part !== undefined)
    .join(' ');

/** Rows with spans and marks, built from the events of all processes. */
export class Timeline {
  readonly #rows = new Map<string, MutableRow>();
  readonly #openSpans = new Map<string, OpenSpan>();
  readonly #fromMs: number;
  readonly #toMs: number;

  /** @param events - events in the order of their stamps */
  public constructor(events: readonly Event[]) {
    this.#fromMs = events[0]?.stamp.wallMs ?? 0;
    this.#toMs = Math.max(this.#fromMs + 1, events.at(-1)?.stamp.wallMs ?? 0);
    for (const event of events) this.#add(event);
    for (const [key, span] of this.#openSpans) {
      this.#closeSpan(key, span, { toMs: this.#toMs, outcome: 'open', detail: 'not ended' });
    }
  }

  /** Wall time of the first event, in milliseconds. */
  public get fromMs(): number {
    return this.#fromMs;
  }

  /** Wall time of the last event, in milliseconds; at least 1 ms after the first one. */
  public get toMs(): number {
    return this.#toMs;
  }

  /** Rows: processes first, then workers, both sorted by data centre and name. */
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
    const rowKey = this.#ensureRow(event, event.worker === undefined ? 'process' : 'worker');
    const spanStart = spanStarts.get(event.name);
    if (spanStart !== undefined) this.#startSpan(event, spanStart);
    if (spanStart?.kind === 'task') this.#recordFirstStart(event);
    const endedKind = spanEnds.get(event.name);
    if (endedKind !== undefined) this.#endSpan(event, endedKind);
    const kind = faultEvents.has(event.name)
      ? 'fault'
      : revisionEvents.has(event.name)
        ? 'revision'
        : undefined;
    if (kind !== undefined) this.#addMark(rowKey, { kind, atMs, detail: describe(event) });
  }

  #startSpan(event: Event, { field, kind, row }: SpanRule): void {
    const name = event[field];
    const key = this.#createSpanKey(event, kind);
    if (name === undefined || this.#openSpans.has(key)) return;
    this.#openSpans.set(key, {
      row: this.#ensureRow(event, row),
      kind,
      name,
      fromMs: event.stamp.wallMs,
      detail: describe(event),
    });
  }

  #endSpan(event: Event, kind: SpanRule['kind']): void {
    const key = this.#createSpanKey(event, kind);
    const span = this.#openSpans.get(key);
    if (span === undefined) return;
    const toMs = event.stamp.wallMs;
    this.#closeSpan(key, span, { toMs, outcome: classifyOutcome(event), detail: describe(event) });
  }

  /** Records the first task start of a request; the request waits until then. */
  #recordFirstStart(event: Event): void {
    const key = this.#createSpanKey(event, 'request');
    const span = this.#openSpans.get(key);
    if (span === undefined || span.startedMs !== undefined) return;
    this.#openSpans.set(key, { ...span, startedMs: event.stamp.wallMs });
  }

  /** A claim is identified by process and shard; a request or task by its id, because it may end in another process. */
  #createSpanKey(event: Event, kind: SpanRule['kind']): string {
    if (kind === 'claim') return `claim|${event.process}|${event.shard ?? ''}`;
    return `${kind}|${(kind === 'task' ? event.taskId : event.requestId) ?? ''}`;
  }

  #closeSpan(key: string, span: OpenSpan, { toMs, outcome, detail: endDetail }: SpanEnd): void {
    this.#openSpans.delete(key);
    const { row, detail, ...rest } = span;
    this.#rows.get(row)?.spans.push({ ...rest, toMs, outcome, detail: `${detail} … ${endDetail}` });
  }

  #addMark(rowKey: string, mark: TimelineRow['marks'][number]): void {
    this.#rows.get(rowKey)?.marks.push(mark);
  }

  #ensureRow({ process, worker, dataCentre }: Event, wanted: SpanRule['row']): string {
    const kind = wanted === 'worker' && worker !== undefined ? 'worker' : 'process';
    const name = kind === 'worker' ? (worker ?? process) : process;
    const key = `${kind}|${name}`;
    if (!this.#rows.has(key)) this.#rows.set(key, { kind, name, dataCentre, spans: [], marks: [] });
    return key;
  }
}
