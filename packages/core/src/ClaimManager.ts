import { validators, type Claim, type Failure, type StoreValue } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { ClaimState } from './ClaimState.js';
import type { Clock } from './Clock.js';
import { createFailure } from './createFailure.js';
import type { EventRecorder } from './EventRecorder.js';
import { parseRecord } from './parseRecord.js';
import { periods } from './periods.js';
import type { RandomSource } from './RandomSource.js';
import type { Store } from './Store.js';

/** Part of the store lease that the holder relies on; the rest covers the drift of the two clocks. */
const reliedFraction = 0.99;
/** Shortest pause between renewals, and the one before a renewal that decides whether the owner may act. */
const minPauseMs = 100;
/** Pause before a renewal while the store does not answer: its owner has to be back before a peer takes the claim. */
const outagePauseMs = 250;
/** Duration of the first calls of a claim from which its lease is renewed before the claim is complete. */
const slowClaimMs = 1000;
/** Reads that settle a write whose answer was lost. */
const maxReadBacks = 3;

/** What a claim keeper works with. */
interface ClaimDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
}

/** Takes and keeps the claim on one shard in the store. */
export class ClaimManager {
  /** Begins the name of a holder that only takes work over from another data centre. */
  public static readonly takeoverPrefix = 'takeover/';

  readonly #dependencies: ClaimDependencies;
  readonly #shard: string;
  readonly #owner: string;
  readonly #address: string;
  #lease: string | undefined;
  /** Local monotonic time until which the store lease is certainly valid, in milliseconds. */
  #leaseValidUntil = 0;
  #isUnreachable = false;
  #lastContactAt = -Infinity;
  #observedHolder: string | undefined;
  #formerEpoch = 0;

  /**
   * @param parts - what the keeper works with
   * @param shard - name of the shard
   * @param owner - name of this process
   * @param address - link address of this process
   */
  public constructor(parts: ClaimDependencies, shard: string, owner: string, address: string) {
    this.#dependencies = parts;
    this.#shard = shard;
    this.#owner = owner;
    this.#address = address;
  }

  /** What is known about the claim at this moment, by the monotonic clock. */
  public get state(): ClaimState {
    if (this.#lease !== undefined && this.#dependencies.clock.now() < this.#leaseValidUntil)
      return 'confirmed';
    return this.#lease !== undefined && this.#isUnreachable ? 'unreachable' : 'unsettled';
  }

  /**
   * Local monotonic time before the last message to the store that proved that this process or another
   * one held the claim, in milliseconds. Other data centres count from a later time.
   */
  public get lastContactAt(): number {
    return this.#lastContactAt;
  }

  /** Process that held the claim at the last attempt to take it; undefined if nobody did. */
  public get observedHolder(): string | undefined {
    return this.#observedHolder;
  }

  /** Epoch that the store had before the last claim of this process. */
  public get formerEpoch(): number {
    return this.#formerEpoch;
  }

  /**
   * Tries to take the claim once.
   *
   * @param minEpoch - highest epoch that workers or peers reported; the new epoch is above it
   * @param isReserved - asked once nobody holds the claim: whether it is left to its last holder
   * @returns the claim under a new epoch; `notOwner` if another process holds it or it is reserved; a store failure
   */
  public async acquire(
    minEpoch = 0,
    isReserved: () => boolean = () => false,
  ): Promise<Result<Claim, Failure>> {
    const { store, clock, recorder, random } = this.#dependencies;
    const key = `owners/${this.#shard}`;
    const readAt = clock.now();
    const holder = await store.read(key);
    if (holder.isErr()) return err(holder.error);
    this.#observedHolder = holder.value.value?.split(' ')[0];
    if (holder.value.version !== 0 && holder.value.value !== undefined) {
      if (!holder.value.value.startsWith(ClaimManager.takeoverPrefix)) this.#lastContactAt = readAt;
      return err(createFailure('notOwner', `held by ${holder.value.value}`));
    }
    if (isReserved())
      return err(createFailure('notOwner', 'left to the last owner, which is alive'));
    let askedAt = clock.now();
    // A slow store leaves no time for a read between the two writes under the lease.
    const [lease, record] = await Promise.all([
      store.grantLease(periods.claimLeaseMs),
      store.read(this.#recordKey),
    ]);
    if (lease.isErr()) return err(lease.error);
    const { lease: leaseId } = lease.value;
    const value = `${this.#owner} ${random.token()}`;
    const taken = await this.#writeOnce(key, value, holder.value.version, leaseId);
    const takenAt = clock.now();
    const isSlow = takenAt - askedAt > slowClaimMs;
    const [claim, renewed] = await Promise.all([
      taken.isErr() ? err<Claim, Failure>(taken.error) : this.#raiseEpoch(minEpoch, record),
      isSlow && taken.isOk() ? store.renewLease(leaseId) : undefined,
    ]);
    if (renewed?.isOk() === true) askedAt = takenAt;
    const validUntil = askedAt + periods.claimLeaseMs * reliedFraction;
    if (claim.isErr() || clock.now() >= validUntil) {
      await store.revokeLease(leaseId);
      return claim.andThen(() => err(createFailure('timeout', 'claiming outlasted the lease')));
    }
    this.#lease = leaseId;
    this.#leaseValidUntil = validUntil;
    this.#lastContactAt = askedAt;
    this.#isUnreachable = false;
    recorder.record('claimTaken', { shard: this.#shard, epoch: claim.value.epoch });
    return claim;
  }

  /**
   * Renews the claim until it is lost. An unreachable store does not end it: nobody else can take the
   * claim in the store meanwhile, and the workers' fencing decides if somebody did.
   *
   * @param isWanted - asked before each renewal; false ends the loop
   * @returns why the claim ended
   */
  public async renewWhile(isWanted: () => boolean): Promise<string> {
    const { store, clock, recorder } = this.#dependencies;
    let askedAt = clock.now();
    while (isWanted()) {
      await clock.sleep(this.#choosePauseMs(clock.now() - askedAt));
      const lease = this.#lease;
      if (lease === undefined || !isWanted()) break;
      askedAt = clock.now();
      const renewed = await store.renewLease(lease);
      if (this.#lease !== lease) break;
      if (renewed.isOk()) {
        this.#lastContactAt = askedAt;
        this.#leaseValidUntil = askedAt + periods.claimLeaseMs * reliedFraction;
        this.#isUnreachable = false;
      } else if (renewed.error.kind === 'staleRevision') {
        this.#lease = undefined;
        recorder.record('claimLost', { shard: this.#shard, detail: 'the store lease expired' });
        return 'the store lease expired';
      } else {
        // A failure that arrives this late shows that this process was paused, not that the store is down.
        this.#isUnreachable = clock.now() - askedAt < periods.claimLeaseMs;
      }
    }
    return 'the claim was given up';
  }

  /** Gives the claim up, so that a peer may take it at once. */
  public async release(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    if (lease !== undefined) await this.#dependencies.store.revokeLease(lease);
  }

  /** Counts from the former call: with a pause after each slow answer the lease would lapse in between. */
  #choosePauseMs(sinceCallMs: number): number {
    const { state: standing } = this;
    if (standing === 'unsettled') return minPauseMs;
    if (standing === 'unreachable') return outagePauseMs;
    return Math.max(minPauseMs, periods.claimRenewalMs - sinceCallMs);
  }

  /** Writes a unique value; a lost answer is settled by reading back. */
  async #writeOnce(
    key: string,
    value: string,
    ifVersion: number,
    lease?: string,
  ): Promise<Result<void, Failure>> {
    const { store } = this.#dependencies;
    const written = await store.write(key, value, ifVersion, lease);
    if (written.isOk()) return ok(undefined);
    if (written.error.kind !== 'timeout') return err(written.error);
    for (let attempt = 0; attempt < maxReadBacks; attempt += 1) {
      const current = await store.read(key);
      if (current.isOk()) return current.value.value === value ? ok(undefined) : err(written.error);
    }
    return err(written.error);
  }

  get #recordKey(): string {
    return `claims/${this.#shard}`;
  }

  /** Raises the epoch in the store; a record that changed since it was read is read again. */
  async #raiseEpoch(
    minEpoch: number,
    known: Result<StoreValue, Failure>,
  ): Promise<Result<Claim, Failure>> {
    const raised = await this.#writeEpoch(minEpoch, known);
    if (raised.isOk() || raised.error.kind !== 'storeConflict') return raised;
    return this.#writeEpoch(minEpoch, await this.#dependencies.store.read(this.#recordKey));
  }

  async #writeEpoch(
    minEpoch: number,
    current: Result<StoreValue, Failure>,
  ): Promise<Result<Claim, Failure>> {
    if (current.isErr()) return err(current.error);
    let epoch = minEpoch;
    if (current.value.value !== undefined) {
      const parsed = parseRecord(validators.Claim, current.value.value);
      if (parsed.isErr()) return err(parsed.error);
      this.#formerEpoch = parsed.value.epoch;
      epoch = Math.max(epoch, parsed.value.epoch);
    }
    const claim: Claim = {
      shard: this.#shard,
      epoch: epoch + 1,
      owner: this.#owner,
      address: this.#address,
      token: this.#dependencies.random.token(),
    };
    const text = JSON.stringify(claim);
    const { version } = current.value;
    return (await this.#writeOnce(this.#recordKey, text, version)).map(() => claim);
  }
}
