import { FleetRoster, Journal, type Effect, type Shard } from '@toucanline/core';
import type { ProcessRuntime } from '@toucanline/runtime';
import { err } from 'neverthrow';
import type { Ownership } from './Ownership.js';
import type { OwnershipPhase } from './OwnershipPhase.js';
import type { WorkTransfer } from './WorkTransfer.js';

const retryDelayMs = 500;

/** Dependencies of the journal. */
interface JournalDependencies {
  readonly runtime: ProcessRuntime;
  readonly shard: Shard;
  readonly ownership: Ownership;
  readonly phase: OwnershipPhase;
  readonly workTransfer: WorkTransfer;
  /** Called once the journal is loaded. */
  readonly onOpen: () => void;
  /** Called after the result of a commit was applied. */
  readonly onChange: () => void;
}

/** Loads the journal and the roster of a shard from the store, and writes to them. */
export class ShardJournal {
  readonly #dependencies: JournalDependencies;
  readonly #journal: Journal;
  readonly #roster: FleetRoster;
  #isOpen = false;

  /** @param dependencies - services and callbacks to use */
  public constructor(dependencies: JournalDependencies) {
    const { store, clock, random } = dependencies.runtime;
    const { shard, epoch } = dependencies.ownership.claim;
    this.#dependencies = dependencies;
    this.#journal = new Journal(store, clock, random, shard, epoch);
    this.#roster = new FleetRoster(store, shard, epoch);
  }

  /** Whether the journal of the previous owners is loaded. */
  public get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Whether a commit is in progress. */
  public get isCommitting(): boolean {
    return this.#journal.isBusy;
  }

  /** Whether the journal is loaded and the store is expected to accept a commit. */
  public get canCommit(): boolean {
    return this.#isOpen && !this.#dependencies.phase.isStoreUnreachable;
  }

  /** Loads the journal, with retries until that succeeds. An owner without a claim serves without it. */
  public async open(): Promise<void> {
    const { runtime, shard, phase, workTransfer, onOpen } = this.#dependencies;
    if (phase.isWithoutClaim) return;
    while (this.#isActive()) {
      const [opened, roster] = await Promise.all([
        workTransfer
          .load()
          .then((failure) => (failure === undefined ? this.#journal.open() : err(failure))),
        this.#roster.load(),
      ]);
      if (!this.#isActive()) return;
      if (opened.isOk() && roster.isOk()) {
        shard.loadJournal(workTransfer.selectOwnEntries(opened.value), roster.value);
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
   * @param effect - commit effect with the entry and its ticket
   */
  public async commit({ ticket, entry }: Extract<Effect, { effect: 'commit' }>): Promise<void> {
    const { runtime, shard, ownership, onChange } = this.#dependencies;
    let result = await this.#journal.append(entry);
    // Ticket 0 marks the end of a request: no call waits for its commit, so it is retried until it succeeds.
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
      // Another owner wrote the journal and may have got the request too, so a refusal would prove nothing.
      ownership.onLost('another owner wrote the journal', shard.epoch);
      return;
    }
    shard.applyCommitResult(ticket, result.isErr() ? result.error : undefined);
    onChange();
  }

  /**
   * Writes the roster, the workers that the next owner has to know, if the store is expected to accept it.
   *
   * @returns whether the store has the roster
   */
  public async saveRoster(): Promise<boolean> {
    if (!this.canCommit) return false;
    return this.#roster.save(this.#dependencies.shard.describeRoster());
  }

  /** Stops the commits of this ownership. */
  public close(): void {
    this.#journal.close();
  }

  /**
   * Checks whether the ownership is active. A method, because the compiler assumes that a field is unchanged after an
   * await.
   */
  #isActive(): boolean {
    return this.#dependencies.phase.isActive;
  }
}
