/** A key-value item of the store. */
export interface StoreItem {
  readonly key: string;
  /** Value; undefined if the item was removed. */
  readonly value: string | undefined;
  /** Store revision of the last change of the item. */
  readonly revision: number;
}
