/** Release delays and last contact of an owner that may be cut off. */
interface CutOffState {
  /** Release delay per queue in the current configuration, in milliseconds. */
  readonly releases: ReadonlyMap<string, number>;
  /** Release delay per queue that other data centres may rely on, in milliseconds. */
  readonly published: ReadonlyMap<string, number>;
  /** Monotonic time in milliseconds before the last contact of any owner of the shard with the store. */
  readonly contactAt: number;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/**
 * Lists the queues that an owner has to release because its data centre is cut off. The shorter one of the
 * configured and the published release delay applies.
 *
 * @param cutOff - release delays and last contact
 * @returns names of the queues
 */
export const listReleasedQueues = ({
  releases,
  published,
  contactAt,
  now,
}: CutOffState): ReadonlySet<string> => {
  const released = new Set<string>();
  for (const delays of [releases, published]) {
    for (const [queue, ms] of delays) if (now - contactAt >= ms) released.add(queue);
  }
  return released;
};
