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
 * The part of each team's limit that one ownership of a shard may spend. It follows the store record:
 * a lower amount counts from before its write, a higher one from after the commit was read.
 */
export class AllotmentEscrow {
  readonly #shard: string;
  readonly #epoch: number;
  readonly #invariant: Invariant;
  #limits: TeamAmounts = new Map();
  #limitsRevision = 0;
  #record = emptyRecord;
  #version = -1;
  /** Rows of writes whose outcome is not known. */
  #pendingWrites: readonly TeamAmounts[] = [];
  #isTakenOver = false;
  #isSuperseded = false;

  /**
   * @param shard - name of the shard
   * @param epoch - epoch of the ownership
   * @param invariant - checks that no write raises a sum above a limit
   */
  public constructor(shard: string, epoch: number, invariant: Invariant) {
    this.#shard = shard;
    this.#epoch = epoch;
    this.#invariant = invariant;
  }

  /** Whether this ownership has taken the allotments of the shard over. */
  public get isTakenOver(): boolean {
    return this.#isTakenOver;
  }

  /** Whether a newer owner has taken the allotments of the shard over. */
  public get isSuperseded(): boolean {
    return this.#isSuperseded;
  }

  /** Whether the outcome of a write is not known. */
  public get hasPendingWrites(): boolean {
    return this.#pendingWrites.length > 0;
  }

  /** Whether the record was never read. */
  public get isNeverRead(): boolean {
    return this.#version < 0;
  }

  /** Whether a write has to tell other shards that this one knows a newer revision. */
  public get isRecordOutdated(): boolean {
    return this.#record.revision < this.#limitsRevision;
  }

  /** Whether this shard knows the newest revision that any writer knew, and may raise amounts. */
  public get canRaise(): boolean {
    return this.#record.revision <= this.#limitsRevision;
  }

  /** Record as it was last read or written. */
  public get record(): Allotments {
    return this.#record;
  }

  /** Version of the record; 0 if the key is absent. */
  public get version(): number {
    return Math.max(0, this.#version);
  }

  /** Limit per team over the whole fleet. */
  public get limits(): TeamAmounts {
    return this.#limits;
  }

  /**
   * Applies the limits of a revision of the document.
   *
   * @param limits - limit per team that has one
   * @param revision - revision of the document
   */
  public applyLimits(limits: TeamAmounts, revision: number): void {
    this.#limits = limits;
    this.#limitsRevision = Math.max(revision, this.#limitsRevision);
  }

  /**
   * Reads the committed amount of this shard.
   *
   * @param team - name of the team
   * @returns the amount in the record
   */
  public readAllotment(team: string): Resources {
    return this.#record.teams[team]?.[this.#shard] ?? zeroResources;
  }

  /**
   * Calculates what a team may run here. Nothing may start while the record exceeds the limit, or
   * while an owner with an older revision might still raise its amount by a former, higher limit.
   *
   * @param team - name of the team
   * @returns the amount
   */
  public calculateUsable(team: string): Resources {
    const limit = this.#limits.get(team);
    const isFenced = this.#isTakenOver && !this.#isSuperseded && !this.isRecordOutdated;
    if (limit === undefined || !isFenced) return zeroResources;
    if (!coversResources(limit, sumAllotments(this.#record, team))) return zeroResources;
    let amount = this.readAllotment(team);
    for (const row of this.#pendingWrites)
      amount = minResources(amount, row.get(team) ?? zeroResources);
    return amount;
  }

  /**
   * Lists what each team with a limit may run here.
   *
   * @returns amount per team
   */
  public listUsable(): TeamAmounts {
    return new Map([...this.#limits.keys()].map((team) => [team, this.calculateUsable(team)]));
  }

  /**
   * Begins a write. From here on the shard spends no more than the new row.
   *
   * @param row - new amount of this shard per team
   * @param token - token of the write
   * @returns the content to write at the current version
   */
  public beginWrite(row: TeamAmounts, token: string): Allotments {
    const teams: Record<string, Readonly<Record<string, Resources>>> = {};
    for (const team of new Set([...Object.keys(this.#record.teams), ...row.keys()])) {
      const { [this.#shard]: _former, ...others } = this.#record.teams[team] ?? {};
      const amount = row.get(team) ?? zeroResources;
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
    this.#pendingWrites = [...this.#pendingWrites, row];
    return content;
  }

  /**
   * Checks that a row raises nothing above a limit.
   *
   * @param row - new amount of this shard per team
   * @param use - use per team, which a row has to cover even above the limit
   * @returns true if the row may be written
   */
  public canWrite(row: TeamAmounts, use: TeamAmounts): boolean {
    for (const [team, amount] of row) {
      const own = this.readAllotment(team);
      if (coversResources(own, amount)) continue;
      const others = subtractResources(sumAllotments(this.#record, team), own);
      const limit = this.#limits.get(team) ?? zeroResources;
      const ceiling = maxResources(subtractResources(limit, others), use.get(team) ?? own);
      const holds = this.canRaise && coversResources(maxResources(ceiling, own), amount);
      const detail = (): string => `allotments of team ${team} would exceed its limit`;
      if (!this.#invariant.check(holds, detail)) return false;
    }
    return true;
  }

  /**
   * Applies the commit of a write.
   *
   * @param content - what was written
   * @param version - version of the record
   */
  public confirmWrite(content: Allotments, version: number): void {
    this.#applyRecord(content, version);
  }

  /** Applies that the newest write certainly did not happen. */
  public discardWrite(): void {
    this.#pendingWrites = this.#pendingWrites.slice(0, -1);
  }

  /**
   * Applies a read of the record. A version above the known one settles all writes: each was made at
   * the known version, so it is in the record or can never enter it.
   *
   * @param content - the record; undefined if the key is absent
   * @param version - version of the record
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
    const holder = content.epochs[this.#shard] ?? -1;
    this.#isTakenOver = holder === this.#epoch;
    if (holder > this.#epoch) this.#isSuperseded = true;
  }
}
