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

/** Fraction of the store lease that the holder relies on; the remainder covers the drift between the two clocks. */
const usableLeaseFraction = 0.99;
/** Shortest delay between renewals, also used before a renewal that decides whether the owner may act. */
const minRenewalDelayMs = 100;
/** Delay before a renewal while the store does not answer; the owner has to renew before a peer takes the claim. */
const outageRenewalDelayMs = 250;
/** If the first calls of a claim take longer than this, its lease is renewed before the claim is complete. */
const slowClaimThresholdMs = 1000;
/** Maximum number of reads that determine whether a write without an answer took effect. */
const maxReadBacks = 3;

/** Services that a claim manager uses. */
interface ClaimDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
}

/** Acquires, renews and releases the claim on one shard in the store. */
export class ClaimManager {
  /** Prefix of the name of a holder that claims the shard only to take over its work for another data centre. */
  public static readonly takeoverPrefix = 'takeover/';

  readonly #dependencies: ClaimDependencies;
  readonly #shard: string;
  readonly #owner: string;
  readonly #address: string;
  #lease: string | undefined;
  /** Monotonic time in milliseconds until which the store lease is certainly valid. */
  #leaseValidUntil = 0;
  #isUnreachable = false;
  #lastContactAt = -Infinity;
  #observedHolder: string | undefined;
  #formerEpoch = 0;

  /**
   * @param dependencies - services to use
   * @param shard - name of the shard
   * @param owner - name of this process
   * @param address - link address of this process
   */
  public constructor(
    dependencies: ClaimDependencies,
    shard: string,
    owner: string,
    address: string,
  ) {
    this.#dependencies = dependencies;
    this.#shard = shard;
    this.#owner = owner;
    this.#address = address;
  }

  /** What this process knows about its claim at present, according to the monotonic clock. */
  public get state(): ClaimState {
    if (this.#lease !== undefined && this.#dependencies.clock.now() < this.#leaseValidUntil)
      return 'confirmed';
    return this.#lease !== undefined && this.#isUnreachable ? 'unreachable' : 'unsettled';
  }

  /**
   * Monotonic time in milliseconds at which the last store call was sent that proved that an owner held the
   * claim, this process or another one. Other data centres start to count later than this.
   */
  public get lastContactAt(): number {
    return this.#lastContactAt;
  }

  /** Process that held the claim at the last attempt to acquire it; undefined if none did. */
  public get observedHolder(): string | undefined {
    return this.#observedHolder;
  }

  /** Epoch stored before this process last acquired the claim. */
  public get formerEpoch(): number {
    return this.#formerEpoch;
  }

  /**
   * Tries once to acquire the claim.
   *
   * @param minEpoch - highest epoch that workers or peers reported; the new epoch is higher
   * @param isReserved - called if nobody holds the claim; returns whether it is reserved for its previous holder
   * @returns the claim with a new epoch; `notOwner` if another process holds it or it is reserved; otherwise the
   * failure of the store, `timeout` if the lease may have expired before the claim was complete
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
      return err(createFailure('notOwner', 'reserved for the previous owner, which is alive'));
    let sentAt = clock.now();
    // The record is read in advance: with a slow store there is no time for a read between the two writes.
    const [lease, record] = await Promise.all([
      store.grantLease(periods.claimLeaseMs),
      store.read(this.#recordKey),
    ]);
    if (lease.isErr()) return err(lease.error);
    const { lease: leaseId } = lease.value;
    const value = `${this.#owner} ${random.token()}`;
    const written = await this.#writeOnce(key, value, holder.value.version, leaseId);
    const writtenAt = clock.now();
    const isSlow = writtenAt - sentAt > slowClaimThresholdMs;
    const [claim, renewed] = await Promise.all([
      written.isErr() ? err<Claim, Failure>(written.error) : this.#raiseEpoch(minEpoch, record),
      isSlow && written.isOk() ? store.renewLease(leaseId) : undefined,
    ]);
    if (renewed?.isOk() === true) sentAt = writtenAt;
    const validUntil = sentAt + periods.claimLeaseMs * usableLeaseFraction;
    if (claim.isErr() || clock.now() >= validUntil) {
      await store.revokeLease(leaseId);
      return claim.andThen(() =>
        err(createFailure('timeout', 'the claim took longer than its lease')),
      );
    }
    this.#lease = leaseId;
    this.#leaseValidUntil = validUntil;
    this.#lastContactAt = sentAt;
    this.#isUnreachable = false;
    recorder.record('claimTaken', { shard: this.#shard, epoch: claim.value.epoch });
    return claim;
  }

  /**
   * Renews the claim until it is lost. An unreachable store does not end the claim: no other process can
   * acquire it in an unreachable store, and if one did, the workers reject the lower epoch (fencing).
   *
   * @param isWanted - called before each renewal; returning false ends the loop
   * @returns the reason why renewal ended
   */
  public async renewWhile(isWanted: () => boolean): Promise<string> {
    const { store, clock, recorder } = this.#dependencies;
    let sentAt = clock.now();
    while (isWanted()) {
      await clock.sleep(this.#choosePauseMs(clock.now() - sentAt));
      const lease = this.#lease;
      if (lease === undefined || !isWanted()) break;
      sentAt = clock.now();
      const renewed = await store.renewLease(lease);
      if (this.#lease !== lease) break;
      if (renewed.isOk()) {
        this.#lastContactAt = sentAt;
        this.#leaseValidUntil = sentAt + periods.claimLeaseMs * usableLeaseFraction;
        this.#isUnreachable = false;
      } else if (renewed.error.kind === 'staleRevision') {
        this.#lease = undefined;
        recorder.record('claimLost', { shard: this.#shard, detail: 'the store lease expired' });
        return 'the store lease expired';
      } else {
        // A failure that arrives later than a lease period means that this process was paused, not that the
        // store is down.
        this.#isUnreachable = clock.now() - sentAt < periods.claimLeaseMs;
      }
    }
    return 'the claim was released';
  }

  /** Releases the claim, so that a peer can acquire it at once. */
  public async release(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    if (lease !== undefined) await this.#dependencies.store.revokeLease(lease);
  }

  /** The delay counts from the previous call; a full delay after each slow answer would let the lease expire. */
  #choosePauseMs(sinceCallMs: number): number {
    const { state } = this;
    if (state === 'unsettled') return minRenewalDelayMs;
    if (state === 'unreachable') return outageRenewalDelayMs;
    return Math.max(minRenewalDelayMs, periods.claimRenewalMs - sinceCallMs);
  }

  /** Writes a unique value; if the answer is lost, reads the key back to determine the outcome. */
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

  /** Raises the epoch in the store; reads the record again if it changed since it was read. */
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
