import type { StoreItem } from '@toucanline/jobs';

/** What a feed tells its user. */
export interface WatchHandler {
  /**
   * Takes all items with the prefix.
   *
   * @param items - the items
   * @param revision - revision of the store
   */
  readonly onSnapshot: (items: readonly StoreItem[], revision: number) => void;
  /** Takes one change. */
  readonly onChange: (item: StoreItem) => void;
  /** Takes the moment at which a completed read or watch was sent. */
  readonly onConfirmed?: (monotonicAt: number, wallAt: number) => void;
}
