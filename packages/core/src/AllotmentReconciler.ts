import {
  validators,
  type Allotments,
  type Failure,
  type Resources,
  type ShardLoad,
} from '@toucanline/schema';
import { ok, type Result } from 'neverthrow';
import { addResources } from './addResources.js';
import type { AllotmentDemand } from './AllotmentDemand.js';
import { AllotmentEscrow } from './AllotmentEscrow.js';
import { AllotmentPlanner } from './AllotmentPlanner.js';
import { TokenBucket } from './TokenBucket.js';
import type { Clock } from './Clock.js';
import { coversResources } from './coversResources.js';
import type { EventRecorder } from './EventRecorder.js';
import type { Invariant } from './Invariant.js';
import type { LoweredLimit } from './LoweredLimit.js';
import { LoweredLimits } from './LoweredLimits.js';
import { maxResources } from './maxResources.js';
import { minResources } from './minResources.js';
import { periods } from './periods.js';
import type { Policy } from './Policy.js';
import type { RandomSource } from './RandomSource.js';
import { scaleResources } from './scaleResources.js';
import type { Store } from './Store.js';
import { sumAllotments } from './sumAllotments.js';
import { validateValue } from './validateValue.js';
import { zeroResources } from './zeroResources.js';

const recordKey = 'allotments';
/**
 * Part of a shard's capacity that a team may hold an allotment for ahead of free capacity, so that it
 * can start in the moment in which other work ends.
 */
const turnoverFraction = 0.25;
/** Part of the time for a lowered limit after which what is still above it is divided again. */
const recalculationFraction = 0.4;
/** Store calls of one shard: a burst after a change of demand, then a rate that a store can carry. */
const storeCallBurst = 16;
const storeCallsPerSecond = 0.75;

/** What the keeper uses of the host process. */
interface ReconcilerDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
  readonly invariant: Invariant;
  /** Reads the load of the shard itself. */
  readonly readLoad: () => ShardLoad;
  /** Reads whether all workers of the shard are accounted for. */
  readonly isRecovered: () => boolean;
  /** Whether the ownership was taken without the store, so that the record may be out of reach. */
  readonly isProvisional: boolean;
  /** Called after each change of what the shard may spend or has to shrink to. */
  readonly onChange: (
    spendable: ReadonlyMap<string, Resources>,
    lowered: ReadonlyMap<string, LoweredLimit>,
  ) => void;
}

/** A planned write. */
interface Plan {
  readonly allotments: ReadonlyMap<string, Resources>;
  readonly use: ReadonlyMap<string, Resources>;
  /** Whether anything differs from the record. */
  readonly hasChanges: boolean;
  /** Whether work here or in another shard waits for the change. */
  readonly isUrgent: boolean;
  /** Whether work here waits for an amount that no shard has given back yet. */
  readonly hasUnmetDemand: boolean;
}

/** Keeps the allotments of one ownership of a shard in step with demand and with the store record. */
export class AllotmentReconciler {
  readonly #dependencies: ReconcilerDependencies;
  readonly #shard: string;
  readonly #escrow: AllotmentEscrow;
  readonly #planner: AllotmentPlanner;
  readonly #loweredLimits = new LoweredLimits();
  readonly #storeCalls: TokenBucket;
  #policy: Policy;
  #peerLoads: readonly ShardLoad[] = [];
  #isRecordStale = true;
  #lastReadAt = -Infinity;
  #lastWriteAt = -Infinity;
  #readDelayMs: number = periods.allotmentMinWriteIntervalMs;
  /** What the former owner handed over, or use that was adopted from it, while the record is out of reach. */
  #inheritedAmounts: ReadonlyMap<string, Resources> | undefined;

  /**
   * @param parts - what the keeper uses of the host process
   * @param shard - name of the shard
   * @param epoch - epoch of the ownership
   * @param policy - policy in effect
   * @param revision - its revision
   */
  public constructor(
    parts: ReconcilerDependencies,
    shard: string,
    epoch: number,
    policy: Policy,
    revision: number,
  ) {
    this.#dependencies = parts;
    this.#shard = shard;
    this.#policy = policy;
    this.#escrow = new AllotmentEscrow(shard, epoch, parts.invariant);
    this.#planner = new AllotmentPlanner(shard, () => this.#policy.shards.includes(shard));
    this.#storeCalls = new TokenBucket(storeCallBurst, storeCallsPerSecond, parts.clock.now());
    this.applyPolicy(policy, revision);
  }

  /** What the shard may spend. */
  public get escrow(): AllotmentEscrow {
    return this.#escrow;
  }

  /**
   * Applies a revision of the document. A limit holds from here on.
   *
   * @param policy - policy in effect
   * @param revision - its revision
   */
  public applyPolicy(policy: Policy, revision: number): void {
    this.#policy = policy;
    this.#escrow.applyLimits(policy.limits, revision);
    this.#notifyChange();
  }

  /**
   * Applies what the owners of other shards told.
   *
   * @param peers - newest load of each other shard
   */
  public applyLoads(peers: readonly ShardLoad[]): void {
    this.#peerLoads = peers;
  }

  /**
   * Takes the amounts over that the former owner could spend when it stopped to act. They count only while the
   * record is out of reach: nobody else may spend them, and nobody can change the record then.
   *
   * @param amounts - amount per team
   */
  public inherit(amounts: Readonly<Record<string, Resources>>): void {
    if (!this.#dependencies.isProvisional) return;
    this.#inheritedAmounts = new Map(Object.entries(amounts));
    this.#notifyChange();
  }

  /**
   * Runs until the ownership ends.
   *
   * @param isActive - whether the ownership goes on
   */
  public async run(isActive: () => boolean): Promise<void> {
    while (isActive() && !this.#escrow.isSuperseded) {
      await this.step();
      await this.#dependencies.clock.sleep(periods.allotmentMinWriteIntervalMs);
    }
  }

  /** Reads and writes the record once, if that is due. */
  public async step(): Promise<void> {
    if (this.#policy.limits.size === 0 && Object.keys(this.#escrow.record.teams).length === 0)
      return;
    this.#inheritUse();
    if (this.#isReadDue()) await this.#read();
    if (this.#escrow.isNeverRead || this.#escrow.isSuperseded || this.#isRecordStale) return;
    const plan = this.#createPlan();
    this.#notifyChange();
    if (plan.hasUnmetDemand && !plan.hasChanges) this.#requestRead();
    if (this.#isWriteDue(plan)) await this.#write(plan);
  }

  /** Reads more rarely as long as nothing was gained. */
  #requestRead(): void {
    const now = this.#dependencies.clock.now();
    if (now - this.#lastReadAt < this.#readDelayMs) return;
    this.#isRecordStale = true;
    this.#readDelayMs = Math.min(this.#readDelayMs * 2, periods.allotmentWriteIntervalMs);
  }

  #isReadDue(): boolean {
    const sinceRead = this.#dependencies.clock.now() - this.#lastReadAt;
    if (this.#isRecordStale) return true;
    return (
      sinceRead >=
      (this.#loweredLimits.active.size > 0
        ? periods.allotmentLoweredReadIntervalMs
        : periods.allotmentIdleReadIntervalMs)
    );
  }

  #isWriteDue(plan: Plan): boolean {
    const {
      isTakenOver,
      isRecordOutdated: mustAnnounce,
      hasPendingWrites: isUnsettled,
    } = this.#escrow;
    if (!isTakenOver || mustAnnounce || isUnsettled) return true;
    if (!plan.hasChanges) return false;
    const sinceWrite = this.#dependencies.clock.now() - this.#lastWriteAt;
    return (
      sinceWrite >=
      (plan.isUrgent ? periods.allotmentMinWriteIntervalMs : periods.allotmentWriteIntervalMs)
    );
  }

  #createPlan(): Plan {
    const { record, limits, canRaise: mayRaise } = this.#escrow;
    const load = this.#dependencies.readLoad();
    const mayChange = this.#dependencies.isRecovered() && this.#escrow.isTakenOver;
    const row = new Map<string, Resources>();
    const use = new Map<string, Resources>();
    let differs = false;
    let isPressing = false;
    let isHungry = false;
    for (const team of new Set([...limits.keys(), ...Object.keys(record.teams)])) {
      const current = this.#escrow.readAllotment(team);
      const own = this.#readDemand(load, team);
      const situation = this.#createPlanInput(team, own);
      use.set(team, own.use);
      const planned = this.#planner.plan(situation);
      // Until all workers are accounted for, the recorded amount may be in use; raising it is safe.
      let amount = mayChange ? planned : maxResources(current, planned);
      if (!mayRaise) amount = minResources(amount, current);
      row.set(team, amount);
      const isSame = coversResources(current, amount) && coversResources(amount, current);
      const isShort = !coversResources(current, addResources(own.use, own.demand));
      if (isShort && situation.limit !== undefined && !coversResources(amount, situation.limit)) {
        isHungry = true;
      }
      if (isSame) continue;
      differs = true;
      const isOver = this.#loweredLimits.active.has(team);
      if (isShort || isOver || this.#planner.isPeerShort(situation)) isPressing = true;
    }
    return {
      allotments: row,
      use,
      hasChanges: differs,
      isUrgent: isPressing,
      hasUnmetDemand: isHungry,
    };
  }

  #createPlanInput(team: string, own: AllotmentDemand): Parameters<AllotmentPlanner['plan']>[0] {
    const { record, limits } = this.#escrow;
    const limit = limits.get(team);
    const current = this.#escrow.readAllotment(team);
    const sum = sumAllotments(record, team);
    const now = this.#dependencies.clock.now();
    const renewMs = this.#policy.lowerLimitMs * recalculationFraction;
    if (limit === undefined) this.#loweredLimits.delete(team);
    const target =
      limit === undefined
        ? zeroResources
        : this.#loweredLimits.calculateTarget(team, limit, sum, current, now, renewMs);
    const others = new Map(
      this.#peerLoads.map((load) => [load.shard, this.#readDemand(load, team)]),
    );
    return { team, limit, record, own, others, target };
  }

  #readDemand({ use, demand, free, room }: ShardLoad, team: string): AllotmentDemand {
    const usable = addResources(free, scaleResources(room, turnoverFraction));
    return {
      use: use[team] ?? zeroResources,
      demand: minResources(demand[team] ?? zeroResources, usable),
    };
  }

  async #read(): Promise<void> {
    const { clock, store } = this.#dependencies;
    if (!this.#storeCalls.takeToken(clock.now())) return;
    this.#lastReadAt = clock.now();
    const value = await store.read(recordKey);
    if (value.isErr()) return;
    const parsed = this.#parse(value.value.value);
    if (parsed.isErr()) return;
    this.#isRecordStale = false;
    this.#escrow.applyRead(parsed.value, value.value.version);
    this.#notifyChange();
  }

  #parse(text: string | undefined): Result<Allotments | undefined, Failure> {
    if (text === undefined) return ok(undefined);
    const data: unknown = JSON.parse(text);
    return validateValue(validators.Allotments, data, 'internal');
  }

  async #write({ allotments: row, use }: Plan): Promise<void> {
    const { clock, store, random } = this.#dependencies;
    if (!this.#escrow.canWrite(row, use) || !this.#storeCalls.takeToken(clock.now())) return;
    const before = new Map([...row.keys()].map((team) => [team, this.#escrow.readAllotment(team)]));
    const content = this.#escrow.beginWrite(row, random.token());
    this.#notifyChange();
    this.#lastWriteAt = clock.now();
    const written = await store.write(recordKey, JSON.stringify(content), this.#escrow.version);
    if (written.isOk()) {
      this.#escrow.confirmWrite(content, written.value);
      this.#readDelayMs = periods.allotmentMinWriteIntervalMs;
      this.#recordMoves(before, row);
    } else {
      if (written.error.kind !== 'timeout') this.#escrow.discardWrite();
      this.#isRecordStale = true;
    }
    this.#notifyChange();
  }

  #recordMoves(before: ReadonlyMap<string, Resources>, row: ReadonlyMap<string, Resources>): void {
    const moved = [...row.entries()].filter(([team, amount]) => {
      const former = before.get(team) ?? zeroResources;
      return !coversResources(former, amount) || !coversResources(amount, former);
    });
    if (moved.length === 0) return;
    this.#dependencies.recorder.record('allotmentMoved', {
      shard: this.#shard,
      detail: moved
        .slice(0, 10)
        .map(([team, { processors }]) => `${team}: ${processors.toFixed(1)} processors`)
        .join(', '),
    });
  }

  #notifyChange(): void {
    this.#dependencies.onChange(this.#listUsable(), this.#loweredLimits.active);
  }

  /**
   * A provisional owner that never read the record spends what it adopted: the former owner never
   * gave away an amount that it used, and nobody can change the record without the store.
   */
  #listUsable(): ReadonlyMap<string, Resources> {
    const spendable = this.#escrow.listUsable();
    if (!this.#escrow.isNeverRead || this.#inheritedAmounts === undefined) return spendable;
    const inherited = new Map(spendable);
    for (const [team, limit] of this.#escrow.limits) {
      const amount = this.#inheritedAmounts.get(team) ?? zeroResources;
      inherited.set(team, minResources(amount, limit));
    }
    return inherited;
  }

  #inheritUse(): void {
    const { isProvisional, isRecovered, readLoad } = this.#dependencies;
    if (!isProvisional || this.#inheritedAmounts !== undefined || !isRecovered()) return;
    this.#inheritedAmounts = new Map(Object.entries(readLoad().use));
    this.#notifyChange();
  }
}
