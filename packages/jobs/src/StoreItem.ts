/** An item of the store. */
export interface StoreItem {
  readonly key: string;
  /** Missing if the item was removed. */
  readonly value: string | undefined;
  /** Revision of its last change. */
  readonly revision: number;
}
