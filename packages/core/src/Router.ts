import type { LoadNotice, Request, Resources, ShardLoad } from '@toucanline/schema';
import { applyShardNotice } from './applyShardNotice.js';
import { calculateDominantShare } from './calculateDominantShare.js';
import type { Clock } from './Clock.js';
import { coversResources } from './coversResources.js';
import type { Policy } from './Policy.js';

/** Age after which a load notice no longer counts, in milliseconds. */
const maxNoticeAgeMs = 5000;

/** What is known of a shard. */
interface KnownLoad {
  readonly load: ShardLoad;
  /** Local monotonic time when its owner told it, in milliseconds. */
  readonly reportedAt: number;
  /** Whether the owner told that it owns the shard no longer. */
  readonly hasEnded: boolean;
}

/** FNV-1a, 32 bits: stable over processes and versions, so that all entries agree. */
const hashText = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  }
  return hash;
};

/** Chooses the shards that a request is offered to, from the load that their owners report. */
export class Router {
  readonly #clock: Clock;
  readonly #dataCentre: string;
  readonly #loads = new Map<string, KnownLoad>();
  /** Local monotonic time of the last sign of life, by process. */
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
   * Applies a load notice. A notice of a lower epoch than the known one is ignored.
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
   * Applies the loads of this process.
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
   * Notes a sign of life of a process: what it told before still holds.
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
   * @param maxAgeMs - oldest notice that counts, in milliseconds
   * @returns the load, if its owner told it within that time
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
   * @param maxAgeMs - longest time since its last sign of life, in milliseconds
   * @returns true if it did not give the shard up
   */
  public hasLiveOwner(shard: string, maxAgeMs: number): boolean {
    const known = this.#loads.get(shard);
    return known?.hasEnded === false && this.#calculateSilenceMs(known) <= maxAgeMs;
  }

  /**
   * Finds when a shard's owner was last heard of.
   *
   * @param shard - name of the shard
   * @returns milliseconds since then; undefined if there was no notice
   */
  public findOwnerSilenceMs(shard: string): number | undefined {
    const known = this.#loads.get(shard);
    return known === undefined ? undefined : this.#calculateSilenceMs(known);
  }

  /**
   * Finds when the owner of a shard changed.
   *
   * @param shard - name of the shard
   * @returns local monotonic time of the first notice under the newest epoch, in milliseconds
   */
  public findOwnerChangedAt(shard: string): number {
    return this.#ownerChangedAt.get(shard) ?? -Infinity;
  }

  /**
   * Chooses the home shard of an idempotency key. It depends on the document only, not on which shards
   * are alive, so a failure moves no key while its request is in flight.
   *
   * @param policy - policy in effect
   * @param team - team of the caller
   * @param key - idempotency key
   * @returns name of the shard
   */
  public chooseHomeShard(policy: Policy, team: string, key: string): string | undefined {
    const { shards } = policy;
    return shards[hashText(`${team}\n${key}`) % Math.max(1, shards.length)];
  }

  /**
   * Orders the shards for a request: first those of this data centre with free capacity, then others
   * with free capacity, then by waiting work.
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

  /** Time since the owner was last known to own the shard, in milliseconds. */
  #calculateSilenceMs({ load, reportedAt: at, hasEnded }: KnownLoad): number {
    const aliveAt = hasEnded ? at : Math.max(at, this.#aliveAt.get(load.owner) ?? at);
    return this.#clock.now() - aliveAt;
  }

  #calculateRank(load: ShardLoad, size: Resources): number {
    const isLocal = load.dataCentre === this.#dataCentre;
    const hasRoom = coversResources(load.free, size) && load.waiting === 0;
    const fill = 1 - calculateDominantShare(load.free, load.room);
    return (hasRoom ? 0 : 100) + (isLocal ? 0 : 10) + fill + load.waiting / 1e6;
  }
}
