import type { Document, Resources, ShardLoad } from '@toucanline/schema';
import {
  AllotmentReconciler,
  EventRecorder,
  EventStream,
  Invariant,
  Policy,
  scaleResources,
} from '../src/index.js';
import { CountingRandom } from './CountingRandom.js';
import { ManualClock } from './ManualClock.js';
import { ManualStore } from './ManualStore.js';

const unit: Resources = { processors: 1, memoryMb: 100, accelerators: 0 };
const none = scaleResources(unit, 0);
const room = scaleResources(unit, 100);

/** Current owner of a shard. */
interface Owner {
  readonly reconciler: AllotmentReconciler;
  readonly epoch: number;
  revision: number;
  isRecovered: boolean;
  isBusy: boolean;
}

/** Shards with one team, in which a test controls the order of reconciler steps, store calls and crashes. */
export class EscrowModel {
  public readonly clock = new ManualClock();
  public readonly store = new ManualStore();
  readonly #random = new CountingRandom();
  readonly #recorder = new EventRecorder(this.clock, new EventStream(), 'model', 'dc1');
  readonly #invariant = new Invariant(this.#recorder, true);
  readonly #names: readonly string[];
  readonly #owners = new Map<string, Owner>();
  readonly #use = new Map<string, number>();
  readonly #demand = new Map<string, number>();
  /** Limit by revision, in units; the first revision is 1. */
  #limits: readonly number[];

  /**
   * @param names - names of the shards
   * @param limit - first limit of the team, in units
   */
  public constructor(names: readonly string[], limit: number) {
    this.#names = names;
    this.#limits = [limit];
    for (const name of names) this.replaceOwner(name);
    for (const owner of this.#owners.values()) owner.isRecovered = true;
  }

  /** Running work over all shards, in units. */
  public get totalUse(): number {
    return this.#names.reduce((sum, name) => sum + this.readUse(name), 0);
  }

  /** Sum of the amounts that the current owners may use, in units. */
  public get totalUsable(): number {
    return this.#names.reduce((sum, name) => sum + this.readUsable(name), 0);
  }

  /**
   * Reads how much work runs in a shard.
   *
   * @param name - name of the shard
   * @returns number of units
   */
  public readUse(name: string): number {
    return this.#use.get(name) ?? 0;
  }

  /**
   * Reads the amount that the owner of a shard may use.
   *
   * @param name - name of the shard
   * @returns number of units
   */
  public readUsable(name: string): number {
    return this.#owners.get(name)?.reconciler.escrow.calculateUsable('team').processors ?? 0;
  }

  /**
   * Replaces the owner of a shard. Calls of the previous owner may still reach the store.
   *
   * @param name - name of the shard
   */
  public replaceOwner(name: string): void {
    const epoch = (this.#owners.get(name)?.epoch ?? 0) + 1;
    const revision = this.#limits.length;
    const reconciler = new AllotmentReconciler(
      {
        store: this.store,
        clock: this.clock,
        random: this.#random,
        recorder: this.#recorder,
        invariant: this.#invariant,
        readLoad: () => this.#describeLoad(name),
        isRecovered: () => this.#owners.get(name)?.isRecovered === true,
        isProvisional: false,
        onChange: () => undefined,
      },
      name,
      epoch,
      this.#createPolicy(revision),
      revision,
    );
    this.#owners.set(name, { reconciler, epoch, revision, isRecovered: false, isBusy: false });
  }

  /**
   * Completes the recovery of a shard: its owner knows what is running.
   *
   * @param name - name of the shard
   */
  public recover(name: string): void {
    const owner = this.#owners.get(name);
    if (owner !== undefined) owner.isRecovered = true;
  }

  /**
   * Sets the waiting work of a shard.
   *
   * @param name - name of the shard
   * @param units - number of units
   */
  public setDemand(name: string, units: number): void {
    this.#demand.set(name, units);
  }

  /**
   * Adds a configuration revision with a new limit. Shards apply it later.
   *
   * @param limit - number of units
   */
  public changeLimit(limit: number): void {
    this.#limits = [...this.#limits, limit];
  }

  /**
   * Applies the newest configuration revision in a shard.
   *
   * @param name - name of the shard
   */
  public applyNewestRevision(name: string): void {
    const owner = this.#owners.get(name);
    if (owner === undefined) return;
    owner.revision = this.#limits.length;
    owner.reconciler.applyPolicy(this.#createPolicy(owner.revision), owner.revision);
  }

  /**
   * Starts a step of a shard's reconciler with the newest loads of the other shards, unless one is in progress.
   *
   * @param name - name of the shard
   */
  public step(name: string): void {
    const owner = this.#owners.get(name);
    if (owner === undefined || owner.isBusy) return;
    const others = this.#names.filter((other) => other !== name);
    owner.reconciler.applyLoads(others.map((other) => this.#describeLoad(other)));
    owner.isBusy = true;
    void owner.reconciler.step().then(() => {
      owner.isBusy = false;
    });
  }

  /**
   * Starts one unit of waiting work if the owner may start it.
   *
   * @param name - name of the shard
   * @returns the highest limit that may be in effect at the start, in units; undefined if nothing was started
   */
  public start(name: string): number | undefined {
    const owner = this.#owners.get(name);
    const demand = this.#demand.get(name) ?? 0;
    const use = this.readUse(name);
    if (owner?.isRecovered !== true || demand < 1) return undefined;
    if (use + 1 > this.readUsable(name) + 1e-6) return undefined;
    this.#demand.set(name, demand - 1);
    this.#use.set(name, use + 1);
    return Math.max(...this.#limits.slice(owner.revision - 1));
  }

  /**
   * Ends one unit of running work.
   *
   * @param name - name of the shard
   */
  public end(name: string): void {
    this.#use.set(name, Math.max(0, this.readUse(name) - 1));
  }

  #createPolicy(revision: number): Policy {
    const document: Document = {
      schema: 1,
      shards: Object.fromEntries(this.#names.map((name) => [name, { dataCentre: 'dc1' }])),
      queues: { work: { kind: 'batch' } },
      teams: { team: { share: 1, limit: scaleResources(unit, this.#limits[revision - 1] ?? 0) } },
    };
    return new Policy(document);
  }

  #describeLoad(name: string): ShardLoad {
    const owner = this.#owners.get(name);
    return {
      shard: name,
      dataCentre: 'dc1',
      epoch: owner?.epoch ?? 0,
      owner: 'model',
      address: '',
      waiting: 0,
      free: room,
      room,
      // An owner that has not recovered does not know what is running.
      use: { team: owner?.isRecovered === true ? scaleResources(unit, this.readUse(name)) : none },
      demand: { team: scaleResources(unit, this.#demand.get(name) ?? 0) },
    };
  }
}
