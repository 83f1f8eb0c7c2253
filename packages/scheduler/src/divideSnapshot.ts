import type { HandoverCall, ShardSnapshot } from '@toucanline/schema';

/** Size of a part in characters of JSON; a frame may be four times as large. */
const maxPartLength = 1_000_000;

/**
 * Divides a snapshot into calls that each fit into a frame.
 *
 * @param snapshot - the snapshot
 * @returns the calls in the order in which they are to be sent
 */
export const divideSnapshot = (snapshot: ShardSnapshot): readonly HandoverCall[] => {
  const empty: ShardSnapshot = { ...snapshot, requests: [], reports: [] };
  const parts: ShardSnapshot[] = [];
  let part = empty;
  let length = 0;
  const makeRoom = (added: number): void => {
    if (length > 0 && length + added > maxPartLength) {
      parts.push(part);
      part = empty;
      length = 0;
    }
    length += added;
  };
  for (const request of snapshot.requests) {
    makeRoom(JSON.stringify(request).length);
    part = { ...part, requests: [...part.requests, request] };
  }
  for (const report of snapshot.reports) {
    makeRoom(JSON.stringify(report).length);
    part = { ...part, reports: [...part.reports, report] };
  }
  parts.push(part);
  return parts.map((content, index) => ({
    call: 'handover',
    last: index === parts.length - 1,
    snapshot: content,
  }));
};
