import type { Timeline } from '@toucanline/core/Timeline';
import type { TimelineRow } from '@toucanline/core/TimelineRow';

const pageWidthPx = 1280;
const labelWidthPx = 190;
const laneHeightPx = 15;
const axisHeightPx = 26;
/** Height above the lanes of a row for its marks. */
const marksHeightPx = 11;
/** Margin on the right, for half the label of the last tick. */
const rightMarginPx = 32;
const maxLanes = 12;
const failedEndWidthPx = 4;
/** Number of characters that fit to the left of the spans. */
const maxLabelCharacters = 27;
const maxTicks = 9;
/** Distances between ticks, in milliseconds, at which the axis shows round times. */
const tickStepsMs = [
  10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 15_000, 30_000, 60_000, 120_000, 300_000,
  600_000, 900_000, 1_800_000, 3_600_000, 7_200_000, 14_400_000, 43_200_000,
];
const dayMs = 86_400_000;

const style = `
body { font: 14px sans-serif; margin: 1.5em; color: #1d2733; }
svg { border: 1px solid #c9d1da; background: #fff; }
text { font: 12px sans-serif; fill: #1d2733; }
.request { fill: #7fb2e5; } .task { fill: #8fce9b; } .claim { fill: #e3c66f; }
.waiting { fill: #d5e5f6; } .bad { fill: #f0a3a0; } .open { stroke: #1d2733; stroke-dasharray: 3 2; }
.name { font-size: 11px; }
.fault { fill: #c62828; } .revision { fill: #6a1b9a; }
.row { stroke: #dfe5eb; } .tick { stroke: #edf1f5; }
.key span { display: inline-block; padding: 0 .6em; margin-right: .8em; }
`;

const escapeHtml = (text: string): string =>
  text.replace(/[&<>"]/g, (character) => `&#${character.charCodeAt(0)};`);

/** Row with the lane of each span, so that overlapping spans do not cover each other. */
interface RowLayout {
  readonly row: TimelineRow;
  readonly lanes: ReadonlyMap<TimelineRow['spans'][number], number>;
  readonly laneCount: number;
}

const layOutRow = (row: TimelineRow): RowLayout => {
  const ends: number[] = [];
  const lanes = new Map<TimelineRow['spans'][number], number>();
  for (const span of [...row.spans].sort((left, right) => left.fromMs - right.fromMs)) {
    const freeLane = ends.findIndex((endMs) => endMs <= span.fromMs);
    // When all lanes are occupied, spans share the last one; their titles still distinguish them.
    const lane = freeLane >= 0 ? freeLane : Math.min(ends.length, maxLanes - 1);
    ends[lane] = Math.max(ends[lane] ?? 0, span.toMs);
    lanes.set(span, lane);
  }
  return { row, lanes, laneCount: Math.max(1, ends.length) };
};

/** Shortens an ID to the part that usually identifies it: `s1.9226c4` for a request, plus the index for a task. */
const shortenName = (name: string): string =>
  name.replace(/^([^.]+\.[0-9a-f]{6})[0-9a-f]+/, '$1').replace(/\/(\d+)\/\d+\.(\d+)$/, '/$1.$2');

const chooseLabel = (name: string, width: number): string => {
  const shortName = shortenName(name);
  if (width > name.length * 7) return escapeHtml(name);
  return width > shortName.length * 6.5 + 6 ? escapeHtml(shortName) : '';
};

const formatDuration = (durationMs: number): string =>
  durationMs < 10_000 ? `${Math.round(durationMs)} ms` : `${(durationMs / 1000).toFixed(1)} s`;

/** Converts a Unix time in milliseconds to a horizontal position in pixels. */
type Scale = (timeMs: number) => number;

const renderSpan = (span: TimelineRow['spans'][number], y: number, scale: Scale): string => {
  const { kind, name, fromMs, toMs, startedMs, outcome, detail } = span;
  const x = scale(fromMs);
  const width = Math.max(2, scale(toMs) - x);
  const waitedMs = kind === 'request' ? (startedMs ?? toMs) - fromMs : 0;
  const waitText = kind === 'request' ? `, waited ${formatDuration(waitedMs)}` : '';
  const title = escapeHtml(
    `${kind} ${name}, ${formatDuration(toMs - fromMs)}${waitText}: ${detail}`,
  );
  const verticalAttributes = `y="${y}" height="${laneHeightPx - 3}"`;
  const cssClass = `${outcome === 'bad' ? 'bad' : kind}${outcome === 'open' ? ' open' : ''}`;
  const bar = `<rect class="${cssClass}" x="${x}" width="${width}" ${verticalAttributes}/>`;
  // Keeps the end visible of a request that was refused while it was waiting.
  const endPx = outcome === 'bad' ? failedEndWidthPx : 0;
  const waitPx = Math.min(width - endPx, scale(fromMs + waitedMs) - x);
  const wait =
    waitPx >= 1 ? `<rect class="waiting" x="${x}" width="${waitPx}" ${verticalAttributes}/>` : '';
  const label = `<text class="name" x="${x + 3}" y="${y + 10}">${chooseLabel(name, width)}</text>`;
  return `<g><title>${title}</title>${bar}${wait}${label}</g>`;
};

const renderRow = ({ row, lanes }: RowLayout, top: number, scale: Scale): string => {
  const lanesTop = top + (row.marks.length > 0 ? marksHeightPx : 0);
  const spans = row.spans.map((span) =>
    renderSpan(span, lanesTop + (lanes.get(span) ?? 0) * laneHeightPx + 2, scale),
  );
  const marks = row.marks.map(({ kind, atMs, detail }) => {
    const x = scale(atMs);
    const points = `${x - 4},${top} ${x + 4},${top} ${x},${top + 9}`;
    const time = new Date(atMs).toISOString().slice(11, 23);
    const title = escapeHtml(`${time} ${detail}`);
    return `<g><title>${title}</title><polygon class="${kind}" points="${points}"/></g>`;
  });
  const name = `${row.name} (${row.dataCentre})`;
  const isLong = name.length > maxLabelCharacters;
  const label = escapeHtml(isLong ? `${name.slice(0, maxLabelCharacters - 1)}…` : name);
  const heading = `<text x="4" y="${top + 12}"><title>${escapeHtml(name)}</title>${label}</text>`;
  return `${heading}${spans.join('')}${marks.join('')}`;
};

const renderAxis = (timeline: Timeline, heightPx: number, scale: Scale): string => {
  const { fromMs, toMs } = timeline;
  const rangeMs = toMs - fromMs;
  const stepMs = tickStepsMs.find((step) => rangeMs / step <= maxTicks) ?? dayMs;
  const times: number[] = [];
  for (let atMs = Math.ceil(fromMs / stepMs) * stepMs; atMs <= toMs; atMs += stepMs)
    times.push(atMs);
  return times
    .map((atMs) => {
      const x = scale(atMs);
      const label = new Date(atMs).toISOString().slice(11, stepMs < 1000 ? 23 : 19);
      return (
        `<line class="tick" x1="${x}" x2="${x}" y1="${axisHeightPx}" y2="${heightPx}"/>` +
        `<text x="${x}" y="16" text-anchor="middle">${label}</text>`
      );
    })
    .join('');
};

/**
 * Renders a timeline as a self-contained HTML page, without scripts or external files.
 *
 * @param timeline - rows with their spans and marks
 * @param title - heading of the page, as plain text
 * @returns the page as HTML
 */
export const renderTimeline = (timeline: Timeline, title: string): string => {
  const rangeMs = timeline.toMs - timeline.fromMs;
  const spanPx = pageWidthPx - labelWidthPx - rightMarginPx;
  const scale = (timeMs: number): number =>
    Math.round((labelWidthPx + ((timeMs - timeline.fromMs) / rangeMs) * spanPx) * 10) / 10;
  const formatInstant = (timeMs: number): string =>
    new Date(timeMs).toISOString().slice(0, 19).replace('T', ' ');
  const range = `${formatInstant(timeline.fromMs)} to ${formatInstant(timeline.toMs)} UTC`;
  let top = axisHeightPx + 4;
  const rows: string[] = [];
  for (const layout of timeline.rows.map(layOutRow)) {
    rows.push(renderRow(layout, top, scale));
    top += layout.laneCount * laneHeightPx + 8 + (layout.row.marks.length > 0 ? marksHeightPx : 0);
    rows.push(`<line class="row" x1="0" x2="${pageWidthPx}" y1="${top - 4}" y2="${top - 4}"/>`);
  }
  const renderLegendItem = (colour: string, text: string): string =>
    `<span style="background:${colour}">${text}</span>`;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title><style>${style}</style></head>
<body><h1>${escapeHtml(title)}</h1>
<p class="key">${renderLegendItem('#d5e5f6', 'request is waiting')}${renderLegendItem('#7fb2e5', 'request is running')}${renderLegendItem('#8fce9b', 'task')}${renderLegendItem('#e3c66f', 'claim of a shard')}${renderLegendItem('#f0a3a0', 'ended without success')}
<span style="border: 1px dashed #1d2733">still open</span>
<span><svg width="10" height="10" style="border:0"><polygon class="fault" points="0,0 10,0 5,10"/></svg> fault or change of a worker</span>
<span><svg width="10" height="10" style="border:0"><polygon class="revision" points="0,0 10,0 5,10"/></svg> new revision</span>
</p>
<p>Events from ${range}. Requests are shown in the row of their scheduler, tasks in the row of their worker.
Point at a bar or a mark to see its details.</p>
<svg width="${pageWidthPx}" height="${top}" viewBox="0 0 ${pageWidthPx} ${top}">
${renderAxis(timeline, top, scale)}${rows.join('\n')}
</svg></body></html>
`;
};
