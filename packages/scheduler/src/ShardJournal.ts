import { FleetRoster, Journal, type Effect, type Shard } from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import { err } from 'neverthrow';
import type { Ownership } from './Ownership.js';
import type { OwnershipPhase } from './OwnershipPhase.js';
import type { WorkTransfer } from './WorkTransfer.js';

const retryDelayMs = 500;

/** What the journal of a shard works with. */
interface JournalDependencies {
  readonly runtime: ProcessRuntime;
  readonly shard: Shard;
  readonly ownership: Ownership;
  readonly phase: OwnershipPhase;
  readonly succession: WorkTransfer;
  /** Called once the journal was loaded. */
  readonly onOpen: () => void;
  /** Called after the result of a commit was applied. */
  readonly onChange: () => void;
}

/** Loads the journal and the roster of a shard from the store, and commits to them. */
export class ShardJournal {
  readonly #dependencies: JournalDependencies;
  readonly #journal: Journal;
  readonly #roster: FleetRoster;
  #isOpen = false;

  /** @param parts - what it works with */
  public constructor(parts: JournalDependencies) {
    const { store, clock, random } = parts.runtime;
    const { shard, epoch } = parts.ownership.claim;
    this.#dependencies = parts;
    this.#journal = new Journal(store, clock, random, shard, epoch);
    this.#roster = new FleetRoster(store, shard, epoch);
  }

  /** Whether the journal of the earlier owners was loaded. */
  public get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Whether a commit is under way. */
  public get isCommitting(): boolean {
    return this.#journal.isBusy;
  }

  /** Whether the store can be expected to take a commit. */
  public get canCommit(): boolean {
    return this.#isOpen && !this.#dependencies.phase.isStoreUnreachable;
  }

  /** Loads the journal, again and again until that succeeds. An owner without the store serves without it. */
  public async open(): Promise<void> {
    const { runtime, shard, phase, succession, onOpen } = this.#dependencies;
    if (phase.isWithoutClaim) return;
    while (this.#isActive()) {
      const [opened, roster] = await Promise.all([
        succession
          .load()
          .then((failure) => (failure === undefined ? this.#journal.open() : err(failure))),
        this.#roster.load(),
      ]);
      if (!this.#isActive()) return;
      if (opened.isOk() && roster.isOk()) {
        shard.loadJournal(succession.selectOwnEntries(opened.value), roster.value);
        this.#isOpen = true;
        onOpen();
        return;
      }
      const failure = opened.isErr() ? opened.error : roster._unsafeUnwrapErr();
      runtime.log.write('warn', 'cannot open the journal', { detail: failure.detail });
      await runtime.clock.sleep(retryDelayMs);
    }
  }

  /**
   * Commits an entry and applies the result.
   *
   * @param effect - the entry with its ticket
   */
  public async commit({ ticket, entry }: Extract<Effect, { effect: 'commit' }>): Promise<void> {
    const { runtime, shard, ownership, onChange } = this.#dependencies;
    let result = await this.#journal.append(entry);
    // Nobody waits for the end of a request to be committed, so it is repeated until it is.
    while (
      ticket === 0 &&
      result.isErr() &&
      result.error.kind !== 'storeConflict' &&
      this.#isActive()
    ) {
      await runtime.clock.sleep(retryDelayMs);
      result = await this.#journal.append(entry);
    }
    if (!this.#isActive()) return;
    if (result.isErr() && result.error.kind === 'storeConflict') {
      // Another owner wrote the journal and may get the request too, so a refusal would prove nothing.
      ownership.onLost('another owner wrote the journal', shard.epoch);
      return;
    }
    shard.applyCommitResult(ticket, result.isErr() ? result.error : undefined);
    onChange();
  }

  /**
   * Writes the workers that the next owner has to know of, if the store can be expected to take them.
   *
   * @returns whether the store has them
   */
  public async saveRoster(): Promise<boolean> {
    if (!this.canCommit) return false;
    return this.#roster.save(this.#dependencies.shard.describeRoster());
  }

  /** Ends the commits of this ownership. */
  public close(): void {
    this.#journal.close();
  }

  /** A method, because the compiler would take a field as unchanged over an await. */
  #isActive(): boolean {
    return this.#dependencies.phase.isActive;
  }
}
