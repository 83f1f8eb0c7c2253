import type { HandoverCall, ShardSnapshot } from '@toucanline/schema';

/** Size of a part in characters of JSON; a frame may be four times as large. */
const maxPartCharacters = 1_000_000;

/**
 * Divides a snapshot into calls that each fit into a frame.
 *
 * @param snapshot - the snapshot
 * @param claimed - whether the claim of the former owner was confirmed a moment ago
 * @param isWhole - whether nothing follows the last part
 * @returns the calls in the order in which they are to be sent
 */
export const splitSnapshot = (
  snapshot: ShardSnapshot,
  claimed: boolean,
  isWhole = true,
): readonly HandoverCall[] => {
  const { shard, epoch, owner, drained, allotments, quarantined } = snapshot;
  const create = (): {
    requests: (typeof snapshot.requests)[number][];
    reports: (typeof snapshot.reports)[number][];
  } => ({ requests: [], reports: [] });
  const parts = [create()];
  let length = 0;
  const makeRoom = (content: unknown): ReturnType<typeof create> => {
    const added = JSON.stringify(content).length;
    if (length > 0 && length + added > maxPartCharacters) {
      parts.push(create());
      length = 0;
    }
    length += added;
    return parts.at(-1) ?? create();
  };
  for (const request of snapshot.requests) makeRoom(request).requests.push(request);
  for (const report of snapshot.reports) makeRoom(report).reports.push(report);
  return parts.map((content, index) => {
    const last = isWhole && index === parts.length - 1;
    const rest = last && quarantined !== undefined ? { quarantined } : {};
    const part = { shard, epoch, owner, drained, allotments, ...content, ...rest };
    return { call: 'handover', claimed, last, snapshot: part };
  });
};
