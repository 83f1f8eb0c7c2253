import type { Allotments, Resources } from '@toucanline/schema';
import { coversResources } from './coversResources.js';
import type { Invariant } from './Invariant.js';
import { maxResources } from './maxResources.js';
import { minResources } from './minResources.js';
import { subtractResources } from './subtractResources.js';
import { sumAllotments } from './sumAllotments.js';
import { zeroResources } from './zeroResources.js';

type TeamAmounts = ReadonlyMap<string, Resources>;

const emptyRecord: Allotments = { revision: 0, token: 'none', epochs: {}, teams: {} };

/**
 * The part of each team's limit that one owner of a shard may use, under the escrow rule: a lower amount
 * takes effect before its write is sent, a higher one only after its commit is known. So the usable
 * amounts of all shards never exceed the limit together, also while writes are in flight.
 */
export class AllotmentEscrow {
  readonly #shard: string;
  readonly #epoch: number;
  readonly #invariant: Invariant;
  #limits: TeamAmounts = new Map();
  #limitsRevision = 0;
  #record = emptyRecord;
  #version = -1;
  /** Amounts of the writes whose outcome is unknown, oldest first. */
  #pendingWrites: readonly TeamAmounts[] = [];
  #isTakenOver = false;
  #isSuperseded = false;

  /**
   * @param shard - name of the shard
   * @param epoch - epoch of this ownership
   * @param invariant - reports a write that would raise a sum above a limit
   */
  public constructor(shard: string, epoch: number, invariant: Invariant) {
    this.#shard = shard;
    this.#epoch = epoch;
    this.#invariant = invariant;
  }

  /** Whether the record names this ownership as the current one of the shard. */
  public get isTakenOver(): boolean {
    return this.#isTakenOver;
  }

  /** Whether the record names a newer owner of the shard. */
  public get isSuperseded(): boolean {
    return this.#isSuperseded;
  }

  /** Whether the outcome of any write is unknown. */
  public get hasPendingWrites(): boolean {
    return this.#pendingWrites.length > 0;
  }

  /** Whether the record has never been read or written by this owner. */
  public get isNeverRead(): boolean {
    return this.#version < 0;
  }

  /** Whether the record must be written because it carries an older revision than this shard knows. */
  public get isRecordOutdated(): boolean {
    return this.#record.revision < this.#limitsRevision;
  }

  /** Whether this shard knows the newest revision that any writer has known, and so may raise amounts. */
  public get canRaise(): boolean {
    return this.#record.revision <= this.#limitsRevision;
  }

  /** Record as last read or written. */
  public get record(): Allotments {
    return this.#record;
  }

  /** Store version of the record; 0 if the key is absent. */
  public get version(): number {
    return Math.max(0, this.#version);
  }

  /** Limit of each team over the whole fleet. */
  public get limits(): TeamAmounts {
    return this.#limits;
  }

  /**
   * Applies the limits of a configuration revision.
   *
   * @param limits - limit of each team that has one
   * @param revision - revision of the configuration document
   */
  public applyLimits(limits: TeamAmounts, revision: number): void {
    this.#limits = limits;
    this.#limitsRevision = Math.max(revision, this.#limitsRevision);
  }

  /**
   * Reads the committed allotment of a team in this shard.
   *
   * @param team - name of the team
   * @returns the amount in the record; zero if there is none
   */
  public readAllotment(team: string): Resources {
    return this.#record.teams[team]?.[this.#shard] ?? zeroResources;
  }

  /**
   * Calculates how much a team may run in this shard. The amount is zero while the record exceeds the
   * limit, and while an owner with an older revision might still raise its amount under a former, higher
   * limit.
   *
   * @param team - name of the team
   * @returns the smallest of the committed amount and those of writes in flight
   */
  public calculateUsable(team: string): Resources {
    const limit = this.#limits.get(team);
    const isFenced = this.#isTakenOver && !this.#isSuperseded && !this.isRecordOutdated;
    if (limit === undefined || !isFenced) return zeroResources;
    if (!coversResources(limit, sumAllotments(this.#record, team))) return zeroResources;
    let amount = this.readAllotment(team);
    for (const allotments of this.#pendingWrites)
      amount = minResources(amount, allotments.get(team) ?? zeroResources);
    return amount;
  }

  /**
   * Lists how much each team with a limit may run in this shard.
   *
   * @returns usable amount per team
   */
  public listUsable(): TeamAmounts {
    return new Map([...this.#limits.keys()].map((team) => [team, this.calculateUsable(team)]));
  }

  /**
   * Begins a write. From now on the shard uses no more than the new amounts.
   *
   * @param allotments - new amount of this shard per team
   * @param token - unique token of the write
   * @returns the record to write at the current version
   */
  public beginWrite(allotments: TeamAmounts, token: string): Allotments {
    const teams: Record<string, Readonly<Record<string, Resources>>> = {};
    for (const team of new Set([...Object.keys(this.#record.teams), ...allotments.keys()])) {
      const { [this.#shard]: _previous, ...others } = this.#record.teams[team] ?? {};
      const amount = allotments.get(team) ?? zeroResources;
      const isEmpty = coversResources(zeroResources, amount);
      const shards = isEmpty ? others : { ...others, [this.#shard]: amount };
      if (Object.keys(shards).length > 0) teams[team] = shards;
    }
    const content: Allotments = {
      revision: Math.max(this.#record.revision, this.#limitsRevision),
      token,
      epochs: { ...this.#record.epochs, [this.#shard]: this.#epoch },
      teams,
    };
    this.#pendingWrites = [...this.#pendingWrites, allotments];
    return content;
  }

  /**
   * Checks that new amounts do not raise the sum of a team above its limit.
   *
   * @param allotments - new amount of this shard per team
   * @param use - current use per team, which the amounts have to cover even above the limit
   * @returns true if the amounts may be written
   */
  public canWrite(allotments: TeamAmounts, use: TeamAmounts): boolean {
    for (const [team, amount] of allotments) {
      const own = this.readAllotment(team);
      if (coversResources(own, amount)) continue;
      const others = subtractResources(sumAllotments(this.#record, team), own);
      const limit = this.#limits.get(team) ?? zeroResources;
      const maxAmount = maxResources(subtractResources(limit, others), use.get(team) ?? own);
      const isWithinLimit = this.canRaise && coversResources(maxResources(maxAmount, own), amount);
      const detail = (): string => `allotments of team ${team} would exceed its limit`;
      if (!this.#invariant.check(isWithinLimit, detail)) return false;
    }
    return true;
  }

  /**
   * Applies a write that was committed.
   *
   * @param content - the written record
   * @param version - store version of the record
   */
  public confirmWrite(content: Allotments, version: number): void {
    this.#applyRecord(content, version);
  }

  /** Discards the newest write, which certainly did not take effect. */
  public discardWrite(): void {
    this.#pendingWrites = this.#pendingWrites.slice(0, -1);
  }

  /**
   * Applies the result of a read. A version above the known one settles all writes in flight: each was
   * conditional on the known version, so it either is in the record or can never be applied.
   *
   * @param content - the record; undefined if the key is absent
   * @param version - store version of the record
   */
  public applyRead(content: Allotments | undefined, version: number): void {
    if (version < this.#version) return;
    if (version === this.#version) return;
    this.#applyRecord(content ?? emptyRecord, version);
  }

  #applyRecord(content: Allotments, version: number): void {
    this.#record = content;
    this.#version = version;
    this.#pendingWrites = [];
    const recordedEpoch = content.epochs[this.#shard] ?? -1;
    this.#isTakenOver = recordedEpoch === this.#epoch;
    if (recordedEpoch > this.#epoch) this.#isSuperseded = true;
  }
}
