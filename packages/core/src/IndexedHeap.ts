/** Item of the heap with its key. */
interface HeapEntry<T> {
  readonly item: T;
  readonly key: number;
  readonly tieBreaker: number;
}

const isBefore = <T>(left: HeapEntry<T>, right: HeapEntry<T>): boolean =>
  left.key < right.key || (left.key === right.key && left.tieBreaker < right.tieBreaker);

/** Binary min-heap whose items can be removed and whose keys can be changed. */
export class IndexedHeap<T> {
  readonly #entries: HeapEntry<T>[] = [];
  readonly #positionByItem = new Map<T, number>();

  /** Number of items. */
  public get size(): number {
    return this.#entries.length;
  }

  /** Item with the lowest key; undefined if the heap is empty. */
  public get first(): T | undefined {
    return this.#entries[0]?.item;
  }

  /** Lowest key; infinite if the heap is empty. */
  public get firstKey(): number {
    return this.#entries[0]?.key ?? Infinity;
  }

  /**
   * Lists all items.
   *
   * @returns the items in no particular order
   */
  public items(): IterableIterator<T> {
    return this.#positionByItem.keys();
  }

  /**
   * Adds an item or changes its key.
   *
   * @param item - the item
   * @param key - its key
   * @param tieBreaker - order among items with equal keys, lowest first
   */
  public set(item: T, key: number, tieBreaker = 0): void {
    const position = this.#positionByItem.get(item) ?? this.#entries.length;
    const known = this.#entries[position];
    if (known?.key === key && known.tieBreaker === tieBreaker) return;
    const entry = { item, key, tieBreaker };
    this.#put(position, entry);
    if (!this.#siftUp(position, entry)) this.#siftDown(position, entry);
  }

  /**
   * Removes an item.
   *
   * @param item - the item
   * @returns true if the item was in the heap
   */
  public delete(item: T): boolean {
    const position = this.#positionByItem.get(item);
    if (position === undefined) return false;
    this.#positionByItem.delete(item);
    const last = this.#entries.pop();
    if (last !== undefined && last.item !== item) {
      this.#put(position, last);
      if (!this.#siftUp(position, last)) this.#siftDown(position, last);
    }
    return true;
  }

  #put(position: number, entry: HeapEntry<T>): void {
    this.#entries[position] = entry;
    this.#positionByItem.set(entry.item, position);
  }

  #siftUp(start: number, entry: HeapEntry<T>): boolean {
    let position = start;
    while (position > 0) {
      const above = (position - 1) >> 1;
      const parent = this.#entries[above];
      if (parent === undefined || !isBefore(entry, parent)) break;
      this.#put(position, parent);
      position = above;
    }
    if (position !== start) this.#put(position, entry);
    return position !== start;
  }

  #siftDown(start: number, entry: HeapEntry<T>): void {
    let position = start;
    for (;;) {
      const left = this.#entries[2 * position + 1];
      const right = this.#entries[2 * position + 2];
      if (left === undefined) break;
      const isRight = right !== undefined && isBefore(right, left);
      const child = isRight ? right : left;
      if (!isBefore(child, entry)) break;
      this.#put(position, child);
      position = 2 * position + (isRight ? 2 : 1);
    }
    if (position !== start) this.#put(position, entry);
  }
}
