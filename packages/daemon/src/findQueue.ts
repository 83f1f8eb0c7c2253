import type { QueueConfiguration, SiteConfiguration } from '@toucanline/schema';

/** Queue of a call, and the part of the path that follows its prefix. */
interface QueueMatch {
  readonly queue: QueueConfiguration;
  readonly suffix: string;
}

/**
 * Finds the queue of a call: the one of the host name with the longest matching path prefix.
 *
 * @param configuration - newest configuration
 * @param host - host name of the call, without a port
 * @param path - path of the call
 * @returns the queue and the rest of the path; undefined if no queue matches
 */
export const findQueue = (
  configuration: SiteConfiguration,
  host: string,
  path: string,
): QueueMatch | undefined => {
  let longest: QueueConfiguration | undefined;
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (longest === undefined || queue.prefix.length > longest.prefix.length) longest = queue;
  }
  return longest && { queue: longest, suffix: path.slice(longest.prefix.length) };
};
