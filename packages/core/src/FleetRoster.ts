import { validators, type Failure, type Roster } from '@toucanline/schema';
import { ok, type Result } from 'neverthrow';
import { createRecordDecoder } from './createRecordDecoder.js';
import type { Store } from './Store.js';

/** Workers that are leased, drained or quarantined. */
type RosterContent = Omit<Roster, 'shard' | 'epoch'>;

/**
 * Stored roster of the workers of one shard. The host list is eventually consistent, so a new owner may not see
 * a worker that runs tasks of the previous owner. The roster names the workers that the previous owner had
 * leased and those that were drained or quarantined.
 */
export class FleetRoster {
  readonly #store: Store;
  readonly #shard: string;
  readonly #epoch: number;
  #version = 0;
  #lastWritten = '';
  #isLoaded = false;
  #isWriting = false;

  /**
   * @param store - the platform's store
   * @param shard - name of the shard
   * @param epoch - epoch of this ownership
   */
  public constructor(store: Store, shard: string, epoch: number) {
    this.#store = store;
    this.#shard = shard;
    this.#epoch = epoch;
  }

  /**
   * Reads the roster of the previous owner.
   *
   * @returns its leased, drained and quarantined workers; or the failure of the store
   */
  public async load(): Promise<Result<RosterContent, Failure>> {
    const current = await this.#store.read(this.#key);
    return current.andThen((stored) => {
      const { version } = stored;
      return createRecordDecoder(validators.Roster)(stored).andThen((roster) => {
        this.#version = version;
        this.#isLoaded = true;
        return ok(roster ?? { workers: [] });
      });
    });
  }

  /**
   * Writes the roster if it changed. A failed write is repeated by the next call, which first reads the
   * current version.
   *
   * @param content - workers that are leased, drained or quarantined
   * @returns true if the store certainly has this content
   */
  public async save(content: RosterContent): Promise<boolean> {
    const roster: Roster = { shard: this.#shard, epoch: this.#epoch, ...content };
    const text = JSON.stringify(roster);
    if (this.#isWriting || text === this.#lastWritten) return text === this.#lastWritten;
    this.#isWriting = true;
    try {
      await this.#write(text);
    } finally {
      this.#isWriting = false;
    }
    return text === this.#lastWritten;
  }

  async #write(text: string): Promise<void> {
    if (!this.#isLoaded) await this.load();
    if (this.#isLoaded) {
      const written = await this.#store.write(this.#key, text, this.#version);
      this.#isLoaded = written.isOk();
      if (written.isOk()) {
        this.#version = written.value;
        this.#lastWritten = text;
      }
    }
  }

  get #key(): string {
    return `rosters/${this.#shard}`;
  }
}
