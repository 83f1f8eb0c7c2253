import type { StoreItem } from '@toucanline/jobs';

/** Callbacks of a watch. */
export interface WatchHandler {
  /**
   * Called with all items under the prefix.
   *
   * @param items - all items
   * @param revision - store revision of the list
   */
  readonly onSnapshot: (items: readonly StoreItem[], revision: number) => void;
  /** Called with each changed or removed item. */
  readonly onChange: (item: StoreItem) => void;
  /**
   * Called when a callback threw an error. The watch goes on with the next item.
   *
   * @param error - value that was thrown
   */
  readonly onError: (error: unknown) => void;
  /**
   * Called after each successful call.
   *
   * @param monotonicAt - monotonic time in milliseconds at which the call was sent
   * @param wallAt - wall-clock time in milliseconds at which the call was sent
   */
  readonly onConfirmed?: (monotonicAt: number, wallAt: number) => void;
}
