import type { Resources } from '@toucanline/schema';
import { coversResources } from './coversResources.js';
import { zeroResources } from './zeroResources.js';

/** Worker in the index. */
interface IndexEntry<T> {
  readonly item: T;
  readonly free: Resources;
  readonly key: number;
}

/** Consecutive entries, and per resource the most that any of them has free. */
interface Block<T> {
  readonly entries: IndexEntry<T>[];
  maxFree: Resources;
}

/**
 * Blocks hold about the square root of the target fleet of 1,300 workers, which balances the search
 * over blocks with the search within one.
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
 * Items in the order of a key, in blocks that know the most that any of their items has free. A search
 * passes over every block in which nothing fits.
 */
export class CapacityIndex<T> {
  readonly #blocks: Block<T>[] = [];
  readonly #blockByItem = new Map<T, Block<T>>();

  /** Number of items. */
  public get size(): number {
    return this.#blockByItem.size;
  }

  /**
   * Adds an item or moves it.
   *
   * @param item - the item
   * @param free - what it has free
   * @param key - its position in the order
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
   * Finds items with enough free.
   *
   * @param size - what is needed
   * @returns the items by rising key; the index must not change during the iteration
   */
  public *findAscending(size: Resources): Generator<T> {
    for (const block of this.#blocks) {
      if (!coversResources(block.maxFree, size)) continue;
      for (const { item, free } of block.entries) if (coversResources(free, size)) yield item;
    }
  }

  /**
   * Finds items with enough free.
   *
   * @param size - what is needed
   * @returns the items by falling key; the index must not change during the iteration
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

  /** Joins a small block with the next one, so that changes do not leave many small blocks behind. */
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
