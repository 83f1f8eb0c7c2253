import type { Resources, ShardLoad, ShardNotice } from '@toucanline/schema';
import { fromAmount } from './fromAmount.js';
import { zeroResources } from './zeroResources.js';

const mergeAmounts = (
  known: Readonly<Record<string, Resources>>,
  changes: ShardNotice['use'],
): Readonly<Record<string, Resources>> => {
  if (changes === undefined) return known;
  const merged = new Map(Object.entries(known));
  for (const [team, amount] of Object.entries(changes)) {
    if (amount.some((part) => part > 0)) merged.set(team, fromAmount(amount));
    else merged.delete(team);
  }
  return Object.fromEntries(merged);
};

/**
 * Applies a load notice of a shard to its known load.
 *
 * @param notice - the notice
 * @param known - known load; undefined if there is none
 * @returns the new load; undefined if the notice is a change and the load of this epoch is not known
 */
export const applyShardNotice = (
  notice: ShardNotice,
  known: ShardLoad | undefined,
): ShardLoad | undefined => {
  const { shard, epoch, origin } = notice;
  const isChange = origin === undefined;
  if (isChange && known?.epoch !== epoch) return undefined;
  const base = isChange ? known : undefined;
  const source = origin ?? known;
  if (source === undefined) return undefined;
  const { dataCentre, owner, address } = source;
  return {
    shard,
    epoch,
    dataCentre,
    owner,
    address,
    waiting: notice.waiting ?? base?.waiting ?? 0,
    free: notice.free === undefined ? (base?.free ?? zeroResources) : fromAmount(notice.free),
    room: notice.room === undefined ? (base?.room ?? zeroResources) : fromAmount(notice.room),
    use: mergeAmounts(base?.use ?? {}, notice.use),
    demand: mergeAmounts(base?.demand ?? {}, notice.demand),
  };
};
