import { validators, type Failure, type ReleaseTerms } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import { createRecordDecoder } from './createRecordDecoder.js';
import type { RandomSource } from './RandomSource.js';
import type { Store } from './Store.js';

/** Services that the manager uses. */
interface ReleaseTermsDependencies {
  readonly store: Store;
  readonly random: RandomSource;
}

const serializeDelays = (queues: ReadonlyMap<string, number>): string =>
  JSON.stringify([...queues].sort(([left], [right]) => left.localeCompare(right)));

/**
 * Reads and writes the release terms of a shard: per queue, the time without contact to the store after which its
 * owner releases the queue. Both sides use the stored terms, because a data centre that is cut off may have an
 * older configuration than the others.
 */
export class ReleaseTermsManager {
  readonly #dependencies: ReleaseTermsDependencies;
  readonly #shard: string;
  #stored: ReadonlyMap<string, number> = new Map();
  /** Delays of a write that may have taken effect, in milliseconds per queue. */
  #pendingWrite: ReadonlyMap<string, number> = new Map();
  #version: number | undefined;

  /**
   * @param dependencies - services to use
   * @param shard - name of the shard
   */
  public constructor(dependencies: ReleaseTermsDependencies, shard: string) {
    this.#dependencies = dependencies;
    this.#shard = shard;
  }

  /** Shortest release delay per queue, in milliseconds, that other data centres may rely on. */
  public get published(): ReadonlyMap<string, number> {
    const published = new Map(this.#stored);
    for (const [queue, ms] of this.#pendingWrite) {
      published.set(queue, Math.min(ms, published.get(queue) ?? Infinity));
    }
    return published;
  }

  /** Version of the stored record; 0 if it is absent or unknown. */
  public get version(): number {
    return this.#version ?? 0;
  }

  /**
   * Checks whether the stored terms match the configuration.
   *
   * @param delaysMs - configured release delay per queue in milliseconds
   * @returns true if they certainly match
   */
  public isUpToDate(delaysMs: ReadonlyMap<string, number>): boolean {
    const isSettled = this.#version !== undefined && this.#pendingWrite.size === 0;
    return isSettled && serializeDelays(this.#stored) === serializeDelays(delaysMs);
  }

  /**
   * Reads the stored terms.
   *
   * @returns nothing, or the failure of the store
   */
  public async read(): Promise<Result<void, Failure>> {
    const stored = await this.#dependencies.store.read(`releaseTerms/${this.#shard}`);
    return stored.andThen((value) =>
      createRecordDecoder(validators.ReleaseTerms)(value).map((record) => {
        this.#stored = new Map(Object.entries(record?.queues ?? {}));
        this.#pendingWrite = new Map();
        this.#version = value.version;
      }),
    );
  }

  /**
   * Updates the stored terms to match the configuration.
   *
   * @param delaysMs - configured release delay per queue in milliseconds
   * @returns true once they match
   */
  public async write(delaysMs: ReadonlyMap<string, number>): Promise<boolean> {
    if (this.#version === undefined || this.#pendingWrite.size > 0) {
      if ((await this.read()).isErr()) return false;
    }
    if (this.isUpToDate(delaysMs)) return true;
    const token = this.#dependencies.random.token();
    const record: ReleaseTerms = {
      shard: this.#shard,
      token,
      queues: Object.fromEntries(delaysMs),
    };
    this.#pendingWrite = delaysMs;
    const key = `releaseTerms/${this.#shard}`;
    const text = JSON.stringify(record);
    const written = await this.#dependencies.store.write(key, text, this.version);
    if (written.isErr()) {
      if (written.error.kind !== 'timeout') this.#version = undefined;
      return false;
    }
    this.#stored = delaysMs;
    this.#pendingWrite = new Map();
    this.#version = written.value;
    return true;
  }
}
