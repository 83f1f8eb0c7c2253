import type { HandoverCall, ShardSnapshot } from '@toucanline/schema';

/** Maximum size of a part in characters of JSON; a frame may be four times as large. */
const maxPartCharacters = 1_000_000;

/**
 * Splits a snapshot into calls that each fit into a frame.
 *
 * @param snapshot - snapshot of the shard
 * @param claimed - whether the claim of the sender was confirmed by the store
 * @param isWhole - whether the last part completes the handover
 * @returns handover calls in sending order
 */
export const splitSnapshot = (
  snapshot: ShardSnapshot,
  claimed: boolean,
  isWhole = true,
): readonly HandoverCall[] => {
  const { shard, epoch, owner, drained, allotments, quarantined } = snapshot;
  const createPart = (): {
    requests: (typeof snapshot.requests)[number][];
    reports: (typeof snapshot.reports)[number][];
  } => ({ requests: [], reports: [] });
  const parts = [createPart()];
  let length = 0;
  const preparePart = (content: unknown): ReturnType<typeof createPart> => {
    const contentLength = JSON.stringify(content).length;
    if (length > 0 && length + contentLength > maxPartCharacters) {
      parts.push(createPart());
      length = 0;
    }
    length += contentLength;
    return parts.at(-1) ?? createPart();
  };
  for (const request of snapshot.requests) preparePart(request).requests.push(request);
  for (const report of snapshot.reports) preparePart(report).reports.push(report);
  return parts.map((content, index) => {
    const last = isWhole && index === parts.length - 1;
    const lastOnly = last && quarantined !== undefined ? { quarantined } : {};
    const part = { shard, epoch, owner, drained, allotments, ...content, ...lastOnly };
    return { call: 'handover', claimed, last, snapshot: part };
  });
};
