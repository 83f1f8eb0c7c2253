import type { LoadNotice, Request, Resources, ShardLoad } from '@toucanline/schema';
import { applyShardNotice } from './applyShardNotice.js';
import { calculateDominantShare } from './calculateDominantShare.js';
import type { Clock } from './Clock.js';
import { coversResources } from './coversResources.js';
import type { Policy } from './Policy.js';

/** Age above which a load is ignored when shards are ordered, in milliseconds. */
const maxNoticeAgeMs = 5000;

/** Newest known load of a shard. */
interface KnownLoad {
  readonly load: ShardLoad;
  /** Local monotonic time at which the load was received, in milliseconds. */
  readonly reportedAt: number;
  /** Whether the owner reported that it no longer owns the shard. */
  readonly hasEnded: boolean;
}

/** FNV-1a hash, 32 bits: stable across processes and versions, so that all entries agree. */
const hashText = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  }
  return hash;
};

/** Chooses the shards to which a request is offered, by the loads that their owners report. */
export class Router {
  readonly #clock: Clock;
  readonly #dataCentre: string;
  readonly #loads = new Map<string, KnownLoad>();
  /** Local monotonic time of the last heartbeat or notice, by process, in milliseconds. */
  readonly #aliveAt = new Map<string, number>();
  readonly #ownerChangedAt = new Map<string, number>();

  /**
   * @param clock - source of time
   * @param dataCentre - data centre of this process
   */
  public constructor(clock: Clock, dataCentre: string) {
    this.#clock = clock;
    this.#dataCentre = dataCentre;
  }

  /**
   * Applies a load notice. Loads with a lower epoch than the known one are ignored.
   *
   * @param process - name of the sender
   * @param notice - the notice
   */
  public applyNotice(process: string, notice: LoadNotice): void {
    this.markAlive(process);
    for (const change of notice.shards) {
      const load = applyShardNotice(change, this.#loads.get(change.shard)?.load);
      if (load !== undefined) this.#applyLoad(load);
    }
    const listed = new Set(notice.shards.map(({ shard }) => shard));
    for (const [shard, { load }] of this.#loads) {
      const isMissing = notice.whole === true && !listed.has(shard);
      const hasEnded = isMissing || notice.ended?.includes(shard) === true;
      if (load.owner === process && hasEnded) this.#markEnded(shard);
    }
  }

  /**
   * Applies the loads of the shards that this process owns.
   *
   * @param process - name of this process
   * @param loads - loads of all shards that it owns
   */
  public applyLocalLoads(process: string, loads: readonly ShardLoad[]): void {
    this.markAlive(process);
    for (const load of loads) this.#applyLoad(load);
    const names = new Set(loads.map(({ shard }) => shard));
    for (const [shard, { load }] of this.#loads) {
      if (load.owner === process && !names.has(shard)) this.#markEnded(shard);
    }
  }

  /**
   * Marks a process as alive, so that the loads it reported before stay valid.
   *
   * @param process - name of the process
   */
  public markAlive(process: string): void {
    this.#aliveAt.set(process, this.#clock.now());
  }

  /**
   * Finds the newest known load of a shard.
   *
   * @param shard - name of the shard
   * @param maxAgeMs - longest time since the owner was last known to own the shard, in milliseconds
   * @returns the load; undefined if it is unknown or older
   */
  public findLoad(shard: string, maxAgeMs = Infinity): ShardLoad | undefined {
    const known = this.#loads.get(shard);
    return known !== undefined && this.#calculateSilenceMs(known) <= maxAgeMs
      ? known.load
      : undefined;
  }

  /**
   * Checks whether the owner of a shard is known to be alive.
   *
   * @param shard - name of the shard
   * @param maxAgeMs - longest time since its last heartbeat or notice, in milliseconds
   * @returns true if the owner is alive and has not given the shard up
   */
  public hasLiveOwner(shard: string, maxAgeMs: number): boolean {
    const known = this.#loads.get(shard);
    return known?.hasEnded === false && this.#calculateSilenceMs(known) <= maxAgeMs;
  }

  /**
   * Finds the time since the owner of a shard was last known to own it.
   *
   * @param shard - name of the shard
   * @returns milliseconds; undefined if no load was received
   */
  public findOwnerSilenceMs(shard: string): number | undefined {
    const known = this.#loads.get(shard);
    return known === undefined ? undefined : this.#calculateSilenceMs(known);
  }

  /**
   * Finds when the owner of a shard last changed.
   *
   * @param shard - name of the shard
   * @returns local monotonic time of the first load with the newest epoch, in milliseconds; `-Infinity` if none
   * was received
   */
  public findOwnerChangedAt(shard: string): number {
    return this.#ownerChangedAt.get(shard) ?? -Infinity;
  }

  /**
   * Chooses the home shard of an idempotency key. The choice depends only on the document and not on which
   * shards are alive, so a failure does not move a key while its request is in flight.
   *
   * @param policy - policy in effect
   * @param team - team of the caller
   * @param key - idempotency key
   * @returns name of the shard; undefined if the document has no shards
   */
  public chooseHomeShard(policy: Policy, team: string, key: string): string | undefined {
    const { shards } = policy;
    return shards[hashText(`${team}\n${key}`) % Math.max(1, shards.length)];
  }

  /**
   * Orders the shards for a request: those with free capacity for a task and no waiting requests come first. Within
   * both groups, shards of this data centre come first, then the less filled ones, then those with fewer waiting
   * requests.
   *
   * @param policy - policy in effect
   * @param request - the request
   * @returns names of the shards with a live owner, best first
   */
  public orderShards(policy: Policy, request: Pick<Request, 'size' | 'tasks'>): readonly string[] {
    const ranked: { readonly shard: string; readonly rank: number }[] = [];
    for (const shard of policy.shards) {
      const known = this.#loads.get(shard);
      if (known === undefined || this.#calculateSilenceMs(known) > maxNoticeAgeMs) continue;
      ranked.push({ shard, rank: this.#calculateRank(known.load, request.size) });
    }
    return ranked.sort((left, right) => left.rank - right.rank).map(({ shard }) => shard);
  }

  #applyLoad(load: ShardLoad): void {
    const known = this.#loads.get(load.shard)?.load;
    if (known !== undefined && known.epoch > load.epoch) return;
    if (known?.epoch !== load.epoch) this.#ownerChangedAt.set(load.shard, this.#clock.now());
    this.#loads.set(load.shard, { load, reportedAt: this.#clock.now(), hasEnded: false });
  }

  #markEnded(shard: string): void {
    const known = this.#loads.get(shard);
    if (known !== undefined) this.#loads.set(shard, { ...known, hasEnded: true });
  }

  /** Calculates the time since the owner was last known to own the shard, in milliseconds. */
  #calculateSilenceMs({ load, reportedAt, hasEnded }: KnownLoad): number {
    const aliveAt = hasEnded
      ? reportedAt
      : Math.max(reportedAt, this.#aliveAt.get(load.owner) ?? reportedAt);
    return this.#clock.now() - aliveAt;
  }

  #calculateRank(load: ShardLoad, size: Resources): number {
    const isLocal = load.dataCentre === this.#dataCentre;
    const hasFreeCapacity = coversResources(load.free, size) && load.waiting === 0;
    const fill = 1 - calculateDominantShare(load.free, load.room);
    return (hasFreeCapacity ? 0 : 100) + (isLocal ? 0 : 10) + fill + load.waiting / 1e6;
  }
}
