import type { Event } from '@toucanline/schema';
import Emittery from 'emittery';

/** Stream of the events of one process, those of one turn of the loop together. Logs, metrics and the timeline subscribe to it. */
export class EventStream extends Emittery<{ readonly events: readonly Event[] }> {}
