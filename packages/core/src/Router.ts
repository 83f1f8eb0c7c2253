import type { LoadNotice, Request, Resources, ShardLoad } from '@toucanline/schema';
import { calculateDominantShare } from './calculateDominantShare.js';
import type { Clock } from './Clock.js';
import { coversResources } from './coversResources.js';
import type { Policy } from './Policy.js';

/** Age after which a load notice no longer counts, in milliseconds. */
const maxNoticeAgeMs = 5000;

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
  readonly #loads = new Map<string, { readonly load: ShardLoad; readonly at: number }>();

  readonly #changes = new Map<string, number>();

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
   * @param notice - the notice
   */
  public applyNotice(notice: LoadNotice): void {
    for (const load of notice.shards) {
      const known = this.#loads.get(load.shard);
      if (known !== undefined && known.load.epoch > load.epoch) continue;
      if (known?.load.epoch !== load.epoch) this.#changes.set(load.shard, this.#clock.now());
      this.#loads.set(load.shard, { load, at: this.#clock.now() });
    }
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
    return known !== undefined && this.#clock.now() - known.at <= maxAgeMs ? known.load : undefined;
  }

  /**
   * Finds how old the newest notice of a shard's owner is.
   *
   * @param shard - name of the shard
   * @returns milliseconds; undefined if there was none
   */
  public findAge(shard: string): number | undefined {
    const known = this.#loads.get(shard);
    return known === undefined ? undefined : this.#clock.now() - known.at;
  }

  /**
   * Finds when the owner of a shard changed.
   *
   * @param shard - name of the shard
   * @returns local monotonic time of the first notice under the newest epoch, in milliseconds
   */
  public findOwnerChange(shard: string): number {
    return this.#changes.get(shard) ?? -Infinity;
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
  public chooseHome(policy: Policy, team: string, key: string): string | undefined {
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
    const now = this.#clock.now();
    const ranked: { readonly shard: string; readonly rank: number }[] = [];
    for (const shard of policy.shards) {
      const known = this.#loads.get(shard);
      if (known === undefined || now - known.at > maxNoticeAgeMs) continue;
      ranked.push({ shard, rank: this.#rank(known.load, request.size) });
    }
    return ranked.sort((left, right) => left.rank - right.rank).map(({ shard }) => shard);
  }

  #rank(load: ShardLoad, size: Resources): number {
    const isLocal = load.dataCentre === this.#dataCentre;
    const hasRoom = coversResources(load.free, size) && load.waiting === 0;
    const fill = 1 - calculateDominantShare(load.free, load.room);
    return (hasRoom ? 0 : 100) + (isLocal ? 0 : 10) + fill + load.waiting / 1e6;
  }
}
