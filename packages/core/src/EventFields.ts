import type { Event } from '@toucanline/schema';

/** Fields of an event that the caller of the recorder provides. */
export type EventFields = Omit<Event, 'stamp' | 'process' | 'dataCentre' | 'name' | 'keptBy'>;
