import type { Event } from '@toucanline/schema';
import Emittery from 'emittery';

/** Stream of the events of one process. Logs, metrics and the timeline subscribe to it. */
export class EventStream extends Emittery<{ readonly event: Event }> {}
