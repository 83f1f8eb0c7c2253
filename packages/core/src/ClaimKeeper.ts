import { validators, type Claim, type Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Clock } from './Clock.js';
import { createFailure } from './createFailure.js';
import type { EventRecorder } from './EventRecorder.js';
import { periods } from './periods.js';
import type { RandomSource } from './RandomSource.js';
import type { Store } from './Store.js';
import { validateValue } from './validateValue.js';

/** What a claim keeper works with. */
interface ClaimParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
}

/** Takes and keeps the claim on one shard in the store. */
export class ClaimKeeper {
  readonly #parts: ClaimParts;
  readonly #shard: string;
  readonly #owner: string;
  readonly #address: string;
  #lease: string | undefined;

  /**
   * @param parts - what the keeper works with
   * @param shard - name of the shard
   * @param owner - name of this process
   * @param address - link address of this process
   */
  public constructor(parts: ClaimParts, shard: string, owner: string, address: string) {
    this.#parts = parts;
    this.#shard = shard;
    this.#owner = owner;
    this.#address = address;
  }

  /**
   * Tries to take the claim once.
   *
   * @returns the claim under a new epoch; `notOwner` if another process holds it; a store failure
   */
  public async acquire(): Promise<Result<Claim, Failure>> {
    const { store } = this.#parts;
    const holder = await store.read(`owners/${this.#shard}`);
    if (holder.isErr()) return err(holder.error);
    if (holder.value.version !== 0 && holder.value.value !== undefined) {
      return err(createFailure('notOwner', `held by ${holder.value.value}`));
    }
    const lease = await store.grantLease(periods.claimLeaseMs);
    if (lease.isErr()) return err(lease.error);
    const written = await store.write(
      `owners/${this.#shard}`,
      this.#owner,
      holder.value.version,
      lease.value.lease,
    );
    if (written.isErr() && !(await this.#isHeldBy(lease.value.lease, written.error))) {
      await store.revokeLease(lease.value.lease);
      return err(written.error);
    }
    const claim = await this.#raiseEpoch();
    if (claim.isErr()) {
      await store.revokeLease(lease.value.lease);
      return claim;
    }
    this.#lease = lease.value.lease;
    this.#parts.recorder.record('claimTaken', { shard: this.#shard, epoch: claim.value.epoch });
    return claim;
  }

  /**
   * Renews the claim until it is lost. An unreachable store does not end it: nobody else can take the
   * claim in the store meanwhile, and the workers' fencing decides if somebody did.
   *
   * @param isWanted - asked before each renewal; false ends the loop
   * @returns why the claim ended
   */
  public async keep(isWanted: () => boolean): Promise<string> {
    const { store, clock } = this.#parts;
    while (isWanted() && this.#lease !== undefined) {
      await clock.sleep(periods.claimRenewalMs);
      const renewed = await store.renewLease(this.#lease);
      if (renewed.isErr() && renewed.error.kind === 'staleRevision') {
        this.#lease = undefined;
        this.#parts.recorder.record('claimLost', { shard: this.#shard });
        return 'the store lease expired';
      }
    }
    return 'the claim was given up';
  }

  /** Gives the claim up, so that a peer may take it at once. */
  public async release(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    if (lease !== undefined) await this.#parts.store.revokeLease(lease);
  }

  /** Settles a write whose response was lost by reading back. */
  async #isHeldBy(lease: string, failure: Failure): Promise<boolean> {
    if (failure.kind !== 'timeout') return false;
    const { store } = this.#parts;
    const renewed = await store.renewLease(lease);
    const holder = await store.read(`owners/${this.#shard}`);
    return renewed.isOk() && holder.isOk() && holder.value.value === this.#owner;
  }

  async #raiseEpoch(): Promise<Result<Claim, Failure>> {
    const { store, random } = this.#parts;
    const key = `claims/${this.#shard}`;
    const token = random.token();
    const current = await store.read(key);
    if (current.isErr()) return err(current.error);
    let epoch = 1;
    if (current.value.value !== undefined) {
      const data: unknown = JSON.parse(current.value.value);
      const parsed = validateValue(validators.Claim, data, 'internal');
      if (parsed.isErr()) return err(parsed.error);
      epoch = parsed.value.epoch + 1;
    }
    const claim: Claim = {
      shard: this.#shard,
      epoch,
      owner: this.#owner,
      address: this.#address,
      token,
    };
    const written = await store.write(key, JSON.stringify(claim), current.value.version);
    if (written.isOk()) return ok(claim);
    if (written.error.kind !== 'timeout') return err(written.error);
    const readBack = await store.read(key);
    const applied = readBack.isOk() && readBack.value.value?.includes(token) === true;
    return applied ? ok(claim) : err(written.error);
  }
}
