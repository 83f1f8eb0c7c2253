import type { Timeline, TimelineRow } from '@toucanline/core';

const widthPx = 1100;
const labelPx = 190;
const lanePx = 14;
const axisPx = 26;
const maxLanes = 12;
/** Characters that fit beside the spans. */
const maxLabelLength = 27;
const ticks = 8;

const style = `
body { font: 14px sans-serif; margin: 1.5em; color: #1d2733; }
svg { border: 1px solid #c9d1da; background: #fff; }
text { font: 12px sans-serif; fill: #1d2733; }
.request { fill: #7fb2e5; } .task { fill: #8fce9b; } .claim { fill: #e3c66f; }
.fault { fill: #c62828; } .revision { fill: #6a1b9a; }
.row { stroke: #dfe5eb; } .tick { stroke: #edf1f5; }
.key span { display: inline-block; padding: 0 .6em; margin-right: .8em; }
`;

const escape = (text: string): string =>
  text.replace(/[&<>"]/g, (character) => `&#${character.charCodeAt(0)};`);

/** A row with the lane of each span, so that spans at the same time do not cover each other. */
interface PlacedRow {
  readonly row: TimelineRow;
  readonly lanes: ReadonlyMap<TimelineRow['spans'][number], number>;
  readonly laneCount: number;
}

const placeRow = (row: TimelineRow): PlacedRow => {
  const ends: number[] = [];
  const lanes = new Map<TimelineRow['spans'][number], number>();
  for (const span of [...row.spans].sort((left, right) => left.fromMs - right.fromMs)) {
    const free = ends.findIndex((endMs) => endMs <= span.fromMs);
    // Beyond the last lane spans share it; their titles still tell them apart.
    const lane = free >= 0 ? free : Math.min(ends.length, maxLanes - 1);
    ends[lane] = Math.max(ends[lane] ?? 0, span.toMs);
    lanes.set(span, lane);
  }
  return { row, lanes, laneCount: Math.max(1, ends.length) };
};

const renderRow = (
  { row, lanes }: PlacedRow,
  top: number,
  scale: (ms: number) => number,
): string => {
  const spans = row.spans.map((span) => {
    const x = scale(span.fromMs);
    const y = top + (lanes.get(span) ?? 0) * lanePx + 2;
    const width = Math.max(2, scale(span.toMs) - x);
    const durationMs = Math.round(span.toMs - span.fromMs);
    const title = escape(`${span.kind} ${span.name}, ${durationMs} ms: ${span.detail}`);
    const rect = `<rect class="${span.kind}" x="${x}" y="${y}" width="${width}" height="${lanePx - 3}"/>`;
    const name = width > span.name.length * 7 ? escape(span.name) : '';
    return `<g><title>${title}</title>${rect}<text x="${x + 3}" y="${y + 10}">${name}</text></g>`;
  });
  const marks = row.marks.map(({ kind, atMs, detail }) => {
    const x = scale(atMs);
    const points = `${x - 4},${top} ${x + 4},${top} ${x},${top + 9}`;
    return `<g><title>${escape(detail)}</title><polygon class="${kind}" points="${points}"/></g>`;
  });
  const name = `${row.name} (${row.dataCentre})`;
  const isLong = name.length > maxLabelLength;
  const label = escape(isLong ? `${name.slice(0, maxLabelLength - 1)}…` : name);
  const heading = `<text x="4" y="${top + 12}"><title>${escape(name)}</title>${label}</text>`;
  return `${heading}${spans.join('')}${marks.join('')}`;
};

const renderAxis = (timeline: Timeline, heightPx: number, scale: (ms: number) => number): string =>
  Array.from({ length: ticks + 1 }, (_, index) => {
    const atMs = timeline.fromMs + ((timeline.toMs - timeline.fromMs) * index) / ticks;
    const x = scale(atMs);
    const label = new Date(atMs).toISOString().slice(11, 23);
    const anchor = index === ticks ? 'end' : index === 0 ? 'start' : 'middle';
    return (
      `<line class="tick" x1="${x}" x2="${x}" y1="${axisPx}" y2="${heightPx}"/>` +
      `<text x="${x}" y="16" text-anchor="${anchor}">${label}</text>`
    );
  }).join('');

/**
 * Renders a timeline as one HTML page without scripts and outside files.
 *
 * @param timeline - the timeline
 * @param title - heading of the page
 * @returns the page
 */
export const renderTimeline = (timeline: Timeline, title: string): string => {
  const rangeMs = timeline.toMs - timeline.fromMs;
  const scale = (ms: number): number =>
    Math.round((labelPx + ((ms - timeline.fromMs) / rangeMs) * (widthPx - labelPx - 8)) * 10) / 10;
  let top = axisPx + 4;
  const rows: string[] = [];
  for (const placed of timeline.rows.map(placeRow)) {
    rows.push(renderRow(placed, top, scale));
    top += placed.laneCount * lanePx + 8;
    rows.push(`<line class="row" x1="0" x2="${widthPx}" y1="${top - 4}" y2="${top - 4}"/>`);
  }
  const swatch = (colour: string, text: string): string =>
    `<span style="background:${colour}">${text}</span>`;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escape(title)}</title><style>${style}</style></head>
<body><h1>${escape(title)}</h1>
<p class="key">${swatch('#7fb2e5', 'request')}${swatch('#8fce9b', 'task')}${swatch('#e3c66f', 'claim')}
<span><svg width="10" height="10" style="border:0"><polygon class="fault" points="0,0 10,0 5,10"/></svg> fault</span>
<span><svg width="10" height="10" style="border:0"><polygon class="revision" points="0,0 10,0 5,10"/></svg> revision</span>
Point at a bar or a mark to read what it is. Times are UTC.</p>
<svg width="${widthPx}" height="${top}" viewBox="0 0 ${widthPx} ${top}">
${renderAxis(timeline, top, scale)}${rows.join('\n')}
</svg></body></html>
`;
};
