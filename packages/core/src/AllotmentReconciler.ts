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
import { parseRecord } from './parseRecord.js';
import type { Policy } from './Policy.js';
import type { RandomSource } from './RandomSource.js';
import { scaleResources } from './scaleResources.js';
import type { Store } from './Store.js';
import { sumAllotments } from './sumAllotments.js';
import { zeroResources } from './zeroResources.js';

const recordKey = 'allotments';
/**
 * Fraction of a shard's capacity for which a team may hold an allotment beyond the free capacity, so that
 * its work can start as soon as other work ends.
 */
const turnoverFraction = 0.25;
/** Fraction of the time allowed for a lowered limit after which the remaining excess is divided again. */
const recalculationFraction = 0.4;
/** Rate limit of a shard's store calls: a burst after a change of demand, then a rate that the store can sustain. */
const storeCallBurst = 16;
const storeCallsPerSecond = 0.75;

/** Dependencies that the host process provides. */
interface ReconcilerDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
  readonly invariant: Invariant;
  /** Reads the load of this shard. */
  readonly readLoad: () => ShardLoad;
  /** Reads whether the state of all workers of the shard is known. */
  readonly isRecovered: () => boolean;
  /** Whether the ownership was taken without the store, so that the record may be unreachable. */
  readonly isProvisional: boolean;
  /** Called with the usable amounts and the reduction targets per team after each change of either. */
  readonly onChange: (
    usable: ReadonlyMap<string, Resources>,
    loweredLimits: ReadonlyMap<string, LoweredLimit>,
  ) => void;
}

/** A planned write. */
interface Plan {
  readonly allotments: ReadonlyMap<string, Resources>;
  readonly use: ReadonlyMap<string, Resources>;
  /** Whether any amount differs from the record. */
  readonly hasChanges: boolean;
  /** Whether work in this or another shard is waiting for the change. */
  readonly isUrgent: boolean;
  /** Whether work in this shard is waiting for an amount that no other shard has released yet. */
  readonly hasUnmetDemand: boolean;
}

/** Reconciles the allotments of one ownership of a shard with its demand and with the record in the store. */
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
  /** Amounts or running use taken over from the previous owner; used only while the record has never been read. */
  #inheritedAmounts: ReadonlyMap<string, Resources> | undefined;

  /**
   * @param dependencies - dependencies that the host process provides
   * @param shard - name of the shard
   * @param epoch - epoch of this ownership
   * @param policy - policy in effect
   * @param revision - configuration revision of the policy
   */
  public constructor(
    dependencies: ReconcilerDependencies,
    shard: string,
    epoch: number,
    policy: Policy,
    revision: number,
  ) {
    this.#dependencies = dependencies;
    this.#shard = shard;
    this.#policy = policy;
    this.#escrow = new AllotmentEscrow(shard, epoch, dependencies.invariant);
    this.#planner = new AllotmentPlanner(shard, () => this.#policy.shards.includes(shard));
    this.#storeCalls = new TokenBucket(
      storeCallBurst,
      storeCallsPerSecond,
      dependencies.clock.now(),
    );
    this.applyPolicy(policy, revision);
  }

  /** Allotments that the shard may use. */
  public get escrow(): AllotmentEscrow {
    return this.#escrow;
  }

  /**
   * Applies a configuration revision. Its limits take effect at once.
   *
   * @param policy - policy in effect
   * @param revision - configuration revision of the policy
   */
  public applyPolicy(policy: Policy, revision: number): void {
    this.#policy = policy;
    this.#escrow.applyLimits(policy.limits, revision);
    this.#notifyChange();
  }

  /**
   * Applies the loads that the owners of other shards reported.
   *
   * @param peerLoads - newest load of each other shard
   */
  public applyLoads(peerLoads: readonly ShardLoad[]): void {
    this.#peerLoads = peerLoads;
  }

  /**
   * Takes over the amounts that the previous owner could use when it stopped. They count only for a provisional
   * owner that has never read the record: nobody else may use them, and nobody can change the record while
   * the store is unreachable.
   *
   * @param amounts - amount per team
   */
  public inherit(amounts: Readonly<Record<string, Resources>>): void {
    if (!this.#dependencies.isProvisional) return;
    this.#inheritedAmounts = new Map(Object.entries(amounts));
    this.#notifyChange();
  }

  /**
   * Reconciles periodically until the ownership ends.
   *
   * @param isActive - whether the ownership continues
   */
  public async run(isActive: () => boolean): Promise<void> {
    while (isActive() && !this.#escrow.isSuperseded) {
      await this.step();
      await this.#dependencies.clock.sleep(periods.allotmentMinWriteIntervalMs);
    }
  }

  /** Reads and writes the record at most once each, if due. */
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

  /** Requests another read of the record, at intervals that double until a write succeeds. */
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
    const { isTakenOver, isRecordOutdated, hasPendingWrites } = this.#escrow;
    if (!isTakenOver || isRecordOutdated || hasPendingWrites) return true;
    if (!plan.hasChanges) return false;
    const sinceWrite = this.#dependencies.clock.now() - this.#lastWriteAt;
    return (
      sinceWrite >=
      (plan.isUrgent ? periods.allotmentMinWriteIntervalMs : periods.allotmentWriteIntervalMs)
    );
  }

  #createPlan(): Plan {
    const { record, limits, canRaise } = this.#escrow;
    const load = this.#dependencies.readLoad();
    const canReduce = this.#dependencies.isRecovered() && this.#escrow.isTakenOver;
    const allotments = new Map<string, Resources>();
    const use = new Map<string, Resources>();
    let hasChanges = false;
    let isUrgent = false;
    let hasUnmetDemand = false;
    for (const team of new Set([...limits.keys(), ...Object.keys(record.teams)])) {
      const current = this.#escrow.readAllotment(team);
      const own = this.#readDemand(load, team);
      const input = this.#createPlanInput(team, own);
      use.set(team, own.use);
      const planned = this.#planner.plan(input);
      // Until the state of all workers is known, the recorded amount may be in use, so it is only raised.
      let amount = canReduce ? planned : maxResources(current, planned);
      if (!canRaise) amount = minResources(amount, current);
      allotments.set(team, amount);
      const isSame = coversResources(current, amount) && coversResources(amount, current);
      const isShort = !coversResources(current, addResources(own.use, own.demand));
      if (isShort && input.limit !== undefined && !coversResources(amount, input.limit)) {
        hasUnmetDemand = true;
      }
      if (isSame) continue;
      hasChanges = true;
      const isAboveLimit = this.#loweredLimits.active.has(team);
      if (isShort || isAboveLimit || this.#planner.isPeerShort(input)) isUrgent = true;
    }
    return {
      allotments,
      use,
      hasChanges,
      isUrgent,
      hasUnmetDemand,
    };
  }

  #createPlanInput(team: string, own: AllotmentDemand): Parameters<AllotmentPlanner['plan']>[0] {
    const { record, limits } = this.#escrow;
    const limit = limits.get(team);
    const current = this.#escrow.readAllotment(team);
    const sum = sumAllotments(record, team);
    const now = this.#dependencies.clock.now();
    const recalculationMs = this.#policy.lowerLimitMs * recalculationFraction;
    if (limit === undefined) this.#loweredLimits.delete(team);
    const target =
      limit === undefined
        ? zeroResources
        : this.#loweredLimits.calculateTarget(team, limit, sum, current, now, recalculationMs);
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
    return parseRecord(validators.Allotments, text);
  }

  async #write({ allotments, use }: Plan): Promise<void> {
    const { clock, store, random } = this.#dependencies;
    if (!this.#escrow.canWrite(allotments, use) || !this.#storeCalls.takeToken(clock.now())) return;
    const before = new Map(
      [...allotments.keys()].map((team) => [team, this.#escrow.readAllotment(team)]),
    );
    const content = this.#escrow.beginWrite(allotments, random.token());
    this.#notifyChange();
    this.#lastWriteAt = clock.now();
    const written = await store.write(recordKey, JSON.stringify(content), this.#escrow.version);
    if (written.isOk()) {
      this.#escrow.confirmWrite(content, written.value);
      this.#readDelayMs = periods.allotmentMinWriteIntervalMs;
      this.#recordMoves(before, allotments);
    } else {
      if (written.error.kind !== 'timeout') this.#escrow.discardWrite();
      this.#isRecordStale = true;
    }
    this.#notifyChange();
  }

  #recordMoves(
    before: ReadonlyMap<string, Resources>,
    allotments: ReadonlyMap<string, Resources>,
  ): void {
    const moved = [...allotments.entries()].filter(([team, amount]) => {
      const previous = before.get(team) ?? zeroResources;
      return !coversResources(previous, amount) || !coversResources(amount, previous);
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
   * A provisional owner that has never read the record uses the amounts that it took over: the previous owner
   * never gave away an amount in use, and nobody can change the record while the store is unreachable.
   */
  #listUsable(): ReadonlyMap<string, Resources> {
    const usable = this.#escrow.listUsable();
    if (!this.#escrow.isNeverRead || this.#inheritedAmounts === undefined) return usable;
    const amounts = new Map(usable);
    for (const [team, limit] of this.#escrow.limits) {
      const amount = this.#inheritedAmounts.get(team) ?? zeroResources;
      amounts.set(team, minResources(amount, limit));
    }
    return amounts;
  }

  #inheritUse(): void {
    const { isProvisional, isRecovered, readLoad } = this.#dependencies;
    if (!isProvisional || this.#inheritedAmounts !== undefined || !isRecovered()) return;
    this.#inheritedAmounts = new Map(Object.entries(readLoad().use));
    this.#notifyChange();
  }
}
