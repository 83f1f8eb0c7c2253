import type { Event } from '@toucanline/schema';
import Emittery from 'emittery';

/**
 * Stream of the events of one process, batched by turn of the event loop. Logs, metrics and the timeline subscribe
 * to it.
 */
export class EventStream extends Emittery<{ readonly events: readonly Event[] }> {}
