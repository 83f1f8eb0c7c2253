import type { Resources } from '@toucanline/schema';
import { coversResources } from './coversResources.js';
import { zeroResources } from './zeroResources.js';

/** Item of the index with its free capacity and its key. */
interface IndexEntry<T> {
  readonly item: T;
  readonly free: Resources;
  readonly key: number;
}

/** Consecutive entries with the largest free amount of each resource among them. */
interface Block<T> {
  readonly entries: IndexEntry<T>[];
  maxFree: Resources;
}

/**
 * Blocks hold about as many entries as the square root of the target fleet of 1,300 workers, which
 * balances the search over the blocks with the search within a block.
 */
const maxBlockSize = 48;
const minBlockSize = 12;

const calculateMaxFree = <T>(entries: readonly IndexEntry<T>[]): Resources => {
  let { processors, memoryMb, accelerators } = zeroResources;
  for (const { free } of entries) {
    processors = Math.max(processors, free.processors);
    memoryMb = Math.max(memoryMb, free.memoryMb);
    accelerators = Math.max(accelerators, free.accelerators);
  }
  return { processors, memoryMb, accelerators };
};

/**
 * Items ordered by a key, in blocks with the largest free amounts of their items. A search skips
 * every block in which nothing fits.
 */
export class CapacityIndex<T> {
  readonly #blocks: Block<T>[] = [];
  readonly #blockByItem = new Map<T, Block<T>>();

  /** Number of items. */
  public get size(): number {
    return this.#blockByItem.size;
  }

  /**
   * Adds an item or updates its free capacity and position.
   *
   * @param item - the item
   * @param free - free capacity of the item
   * @param key - key that determines the order
   */
  public set(item: T, free: Resources, key: number): void {
    this.delete(item);
    const block = this.#findBlock(key);
    const position = block.entries.findIndex((entry) => entry.key > key);
    block.entries.splice(position < 0 ? block.entries.length : position, 0, { item, free, key });
    this.#blockByItem.set(item, block);
    block.maxFree = calculateMaxFree(block.entries);
    if (block.entries.length > maxBlockSize) this.#split(block);
  }

  /**
   * Removes an item.
   *
   * @param item - the item
   */
  public delete(item: T): void {
    const block = this.#blockByItem.get(item);
    if (block === undefined) return;
    this.#blockByItem.delete(item);
    block.entries.splice(
      block.entries.findIndex((entry) => entry.item === item),
      1,
    );
    block.maxFree = calculateMaxFree(block.entries);
    if (block.entries.length < minBlockSize) this.#merge(block);
  }

  /**
   * Finds the items with enough free capacity.
   *
   * @param size - resources that are needed
   * @returns the items by ascending key; the index must not change during the iteration
   */
  public *findAscending(size: Resources): Generator<T> {
    for (const block of this.#blocks) {
      if (!coversResources(block.maxFree, size)) continue;
      for (const { item, free } of block.entries) if (coversResources(free, size)) yield item;
    }
  }

  /**
   * Finds the items with enough free capacity.
   *
   * @param size - resources that are needed
   * @returns the items by descending key; the index must not change during the iteration
   */
  public *findDescending(size: Resources): Generator<T> {
    for (let index = this.#blocks.length - 1; index >= 0; index -= 1) {
      const block = this.#blocks[index];
      if (block === undefined || !coversResources(block.maxFree, size)) continue;
      for (let position = block.entries.length - 1; position >= 0; position -= 1) {
        const entry = block.entries[position];
        if (entry !== undefined && coversResources(entry.free, size)) yield entry.item;
      }
    }
  }

  #findBlock(key: number): Block<T> {
    let found = this.#blocks[0];
    for (const block of this.#blocks) {
      const [first] = block.entries;
      if (first !== undefined && first.key > key) break;
      found = block;
    }
    if (found !== undefined) return found;
    const created: Block<T> = { entries: [], maxFree: zeroResources };
    this.#blocks.push(created);
    return created;
  }

  #split(block: Block<T>): void {
    const entries = block.entries.splice(block.entries.length >> 1);
    block.maxFree = calculateMaxFree(block.entries);
    const added: Block<T> = { entries, maxFree: calculateMaxFree(entries) };
    this.#blocks.splice(this.#blocks.indexOf(block) + 1, 0, added);
    for (const { item } of entries) this.#blockByItem.set(item, added);
  }

  /** Merges a small block with the next one, so that removals do not leave many small blocks. */
  #merge(block: Block<T>): void {
    const position = this.#blocks.indexOf(block);
    const next = this.#blocks[position + 1];
    if (next === undefined) {
      if (block.entries.length === 0) this.#blocks.splice(position, 1);
      return;
    }
    if (block.entries.length + next.entries.length > maxBlockSize) return;
    for (const entry of next.entries) {
      block.entries.push(entry);
      this.#blockByItem.set(entry.item, block);
    }
    block.maxFree = calculateMaxFree(block.entries);
    this.#blocks.splice(position + 1, 1);
  }
}
