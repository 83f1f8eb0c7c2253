import { writeFileSync } from 'node:fs';
import { Flags } from '@oclif/core';
import { Timeline } from '@toucanline/core/Timeline';
import type { Event } from '@toucanline/schema';
import { BaseCommand } from './BaseCommand.js';
import { exitCodes } from './exitCodes.js';
import { formatTable } from './formatTable.js';
import { formatTime } from './formatTime.js';
import { parseDuration } from './parseDuration.js';
import { readEvents } from './readEvents.js';
import { renderTimeline } from './renderTimeline.js';

const formatEventFields = (event: Event): string => {
  const { requestId, taskId, worker, shard, team, revision, detail } = event;
  const fields = { requestId, taskId, worker, shard, team, revision, detail };
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
};

/** Command `toucanline timeline`. */
export class TimelineCommand extends BaseCommand {
  public static override readonly summary =
    'Show the events of all processes in order, as text or as an HTML page.';

  public static override readonly examples = [
    'toucanline timeline --since 5m',
    'toucanline timeline --request s1.0123456789abcdef',
    'toucanline timeline --since 1h --html timeline.html',
  ];

  public static override readonly flags = {
    request: Flags.string({ summary: 'Show only the events of this request.' }),
    since: Flags.string({
      summary: 'How far back to start, such as 30s, 5m or 2h.',
      default: '5m',
    }),
    html: Flags.string({ summary: 'Write a self-contained HTML page to this file.' }),
  };

  /** {@inheritDoc} */
  public override async run(): Promise<readonly Event[]> {
    const { flags } = await this.parse(TimelineCommand);
    const durationMs = parseDuration(flags.since);
    if (durationMs === undefined) {
      return this.fail({
        message: `invalid duration "${flags.since}" for --since: expected a whole number with the unit s, m or h`,
        next: 'Pass a duration such as 30s, 5m or 2h.',
        exitCode: exitCodes.invalid,
      });
    }
    const { client, name } = this.openEnvironment(flags);
    const sinceMs = Date.now() - durationMs;
    const { events, unreachable } = this.unwrapOrFail(
      await readEvents(client, sinceMs, flags.request),
    );
    for (const entry of unreachable) this.warn(`${entry} did not answer; its events are missing`);
    if (flags.html !== undefined) {
      writeFileSync(
        flags.html,
        renderTimeline(new Timeline(events), `${name}: last ${flags.since}`),
      );
      this.log(`Wrote ${events.length} events to ${flags.html}.`);
      return events;
    }
    const rows = events.map((event) => [
      `${formatTime(event.stamp.wallMs)}+${event.stamp.counter}`,
      event.dataCentre,
      event.process,
      event.name,
      formatEventFields(event),
    ]);
    this.log(formatTable(rows));
    return events;
  }
}
