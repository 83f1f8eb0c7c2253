/** What decides when an owner that is cut off gives the work of a queue up. */
interface CutOffState {
  /** Milliseconds per queue in the document in effect. */
  readonly releases: ReadonlyMap<string, number>;
  /** Milliseconds per queue that other data centres may rely on; undefined if that is not known. */
  readonly published: ReadonlyMap<string, number>;
  /** Local monotonic time before the last contact of any owner of the shard with the store. */
  readonly contactAt: number;
  /** Local monotonic time. */
  readonly now: number;
}

/**
 * Lists the queues whose work an owner has to give up because its data centre is cut off. The shorter of
 * the time in the document and the time that was promised to others counts.
 *
 * @param cutOff - what is known
 * @returns names of the queues
 */
export const listReleasedQueues = ({
  releases,
  published,
  contactAt,
  now,
}: CutOffState): ReadonlySet<string> => {
  const released = new Set<string>();
  for (const times of [releases, published]) {
    for (const [queue, ms] of times) if (now - contactAt >= ms) released.add(queue);
  }
  return released;
};
