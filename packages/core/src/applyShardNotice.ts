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
 * Applies a notice about a shard to what is known of it.
 *
 * @param notice - the notice
 * @param known - the known load, if any
 * @returns the new load; undefined for a change of a load that is not known
 */
export const applyShardNotice = (
  notice: ShardNotice,
  known: ShardLoad | undefined,
): ShardLoad | undefined => {
  const { shard, epoch, origin } = notice;
  const isChange = origin === undefined;
  if (isChange && known?.epoch !== epoch) return undefined;
  const base = isChange ? known : undefined;
  const place = origin ?? known;
  if (place === undefined) return undefined;
  const { dataCentre, owner, address } = place;
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
