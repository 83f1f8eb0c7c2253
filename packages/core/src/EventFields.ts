import type { Event } from '@toucanline/schema';

/** Fields of an event that its reporter chooses. */
export type EventFields = Omit<Event, 'stamp' | 'process' | 'dataCentre' | 'name' | 'keptBy'>;
