import { validators, type Failure, type Roster } from '@toucanline/schema';
import { ok, type Result } from 'neverthrow';
import { createRecordDecoder } from './createRecordDecoder.js';
import type { Store } from './Store.js';

/** Workers that are leased, drained and in quarantine. */
type RosterContent = Omit<Roster, 'shard' | 'epoch'>;

/**
 * Workers of one shard in the store. The host list lags, so a new owner may miss a worker that runs tasks of
 * the former one; it reads here whom the former one leased, and which workers were drained or in quarantine.
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
   * Reads what the former owner wrote.
   *
   * @returns its workers, those that operators drained and those in quarantine, or a store failure
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
   * Writes the workers if they changed. A write that fails is made again with the next call, after the
   * version was read back.
   *
   * @param content - workers that are leased, drained and in quarantine
   * @returns true if the store certainly has exactly this
   */
  public async save(content: RosterContent): Promise<boolean> {
    const roster: Roster = { shard: this.#shard, epoch: this.#epoch, ...content };
    const text = JSON.stringify(roster);
    if (this.#isWriting || text === this.#lastWritten) return text === this.#lastWritten;
    this.#isWriting = true;
    if (!this.#isLoaded) await this.load();
    if (this.#isLoaded) {
      const written = await this.#store.write(this.#key, text, this.#version);
      this.#isLoaded = written.isOk();
      if (written.isOk()) {
        this.#version = written.value;
        this.#lastWritten = text;
      }
    }
    this.#isWriting = false;
    return text === this.#lastWritten;
  }

  get #key(): string {
    return `rosters/${this.#shard}`;
  }
}
