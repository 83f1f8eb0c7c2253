import type { StoreItem } from '@toucanline/jobs';

/** What a feed tells its user. */
export interface FeedHandler {
  /**
   * Takes all items with the prefix.
   *
   * @param items - the items
   * @param revision - revision of the store
   */
  readonly replace: (items: readonly StoreItem[], revision: number) => void;
  /** Takes one change. */
  readonly change: (item: StoreItem) => void;
  /** Takes the moment at which a completed read or watch was sent. */
  readonly confirm?: (monotonicAt: number, wallAt: number) => void;
}
