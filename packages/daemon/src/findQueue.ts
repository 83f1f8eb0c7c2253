import type { QueueConfiguration, SiteConfiguration } from '@toucanline/schema';

/** A queue and what follows its prefix in the path. */
interface QueueMatch {
  readonly queue: QueueConfiguration;
  readonly suffix: string;
}

/**
 * Finds the queue of a call: the longest prefix of the path among the queues of the host name.
 *
 * @param configuration - newest configuration
 * @param host - host name of the call, without a port
 * @param path - path of the call
 * @returns the queue, if there is one
 */
export const findQueue = (
  configuration: SiteConfiguration,
  host: string,
  path: string,
): QueueMatch | undefined => {
  let best: QueueConfiguration | undefined;
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (best === undefined || queue.prefix.length > best.prefix.length) best = queue;
  }
  return best && { queue: best, suffix: path.slice(best.prefix.length) };
};
