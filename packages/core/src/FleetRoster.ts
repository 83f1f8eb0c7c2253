import {
  validators,
  type Failure,
  type HostRecord,
  type QuarantinedWorker,
  type Roster,
} from '@toucanline/schema';
import { ok, type Result } from 'neverthrow';
import { decodeStored } from './decodeStored.js';
import type { Store } from './Store.js';

/**
 * Workers of one shard in the store. The host list lags, so a new owner may miss a worker that runs tasks of
 * the former one; it reads here whom the former one leased, and who was in quarantine.
 */
export class FleetRoster {
  readonly #store: Store;
  readonly #shard: string;
  readonly #epoch: number;
  #version = 0;
  #written = '';
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
   * Reads the workers of the former owner.
   *
   * @returns the workers and those of them in quarantine, or a store failure
   */
  public async load(): Promise<Result<Pick<Roster, 'workers' | 'quarantined'>, Failure>> {
    const current = await this.#store.read(this.#key);
    return current.andThen((stored) => {
      const { version } = stored;
      return decodeStored(validators.Roster)(stored).andThen((roster) => {
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
   * @param workers - workers that are leased
   * @param quarantined - workers in quarantine
   */
  public async save(
    workers: readonly HostRecord[],
    quarantined: readonly QuarantinedWorker[],
  ): Promise<void> {
    const roster: Roster = {
      shard: this.#shard,
      epoch: this.#epoch,
      workers,
      ...(quarantined.length === 0 ? {} : { quarantined }),
    };
    const content = JSON.stringify(roster);
    if (this.#isWriting || content === this.#written) return;
    this.#isWriting = true;
    if (!this.#isLoaded) await this.load();
    if (this.#isLoaded) {
      const written = await this.#store.write(this.#key, content, this.#version);
      this.#isLoaded = written.isOk();
      if (written.isOk()) {
        this.#version = written.value;
        this.#written = content;
      }
    }
    this.#isWriting = false;
  }

  get #key(): string {
    return `rosters/${this.#shard}`;
  }
}
