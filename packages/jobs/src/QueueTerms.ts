import type { QueueConfiguration } from '@toucanline/schema';

/** Settings of a queue that scheduling depends on, from the configuration or from the record of a job. */
export type QueueTerms = Omit<QueueConfiguration, 'host' | 'prefix' | 'isOpen'>;
