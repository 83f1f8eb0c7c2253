import { LoadFeed } from '@toucanline/core';
import type { LoadNotice } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';

/**
 * Shortest times between notices of changed loads, slightly below a multiple of the period in which the
 * daemon calls. Entries of other data centres send work only when their own data centre has no room.
 */
const localNoticeIntervalMs = 900;
const remoteNoticeIntervalMs = 1900;
/** Time after which a peer is told everything again. */
const fullNoticeIntervalMs = 60_000;

/** Peers that are told the same. */
interface PeerGroup {
  readonly feed: LoadFeed;
  /** Local monotonic time when a link was last told everything. */
  readonly fullNoticeSentAt: WeakMap<Link, number>;
}

const createPeerGroup = (periodMs: number, withTeams: boolean): PeerGroup => ({
  feed: new LoadFeed(periodMs, withTeams),
  fullNoticeSentAt: new WeakMap(),
});

/** Tells the load of this process to its peers. */
export class LoadNotifier {
  readonly #dataCentre: string;
  /** Entries route by free capacity alone; the amounts per team are for schedulers. */
  readonly #schedulers = createPeerGroup(localNoticeIntervalMs, true);
  readonly #localEntries = createPeerGroup(localNoticeIntervalMs, false);
  readonly #remoteEntries = createPeerGroup(remoteNoticeIntervalMs, false);

  /** @param dataCentre - data centre of this process */
  public constructor(dataCentre: string) {
    this.#dataCentre = dataCentre;
  }

  /**
   * Tells each peer what changed, and everything to a peer that knows nothing yet.
   *
   * @param links - open links
   * @param now - local monotonic time in milliseconds
   * @param state - loads and revisions
   * @param envelope - further fields of notices with everything
   */
  public notifyPeers(
    links: readonly Link[],
    now: number,
    state: Parameters<LoadFeed['createChangeNotice']>[1],
    envelope: Pick<LoadNotice, 'keysAgeMs' | 'stamp'>,
  ): void {
    const audiences = [this.#schedulers, this.#localEntries, this.#remoteEntries];
    const changes = new Map(
      audiences.map(({ feed }) => [feed, feed.createChangeNotice(now, state)]),
    );
    const wholes = new Map<LoadFeed, LoadNotice>();
    const told = new Set<string>();
    for (const link of links) {
      // Two schedulers dial each other, so there may be two links to one process.
      if (link.peer === undefined || told.has(link.peer.process)) continue;
      told.add(link.peer.process);
      const { feed, fullNoticeSentAt: toldAt } = this.#findGroup(link);
      const lastAt = toldAt.get(link);
      if (lastAt !== undefined && now - lastAt < fullNoticeIntervalMs) {
        const change = changes.get(feed);
        if (change !== undefined && !link.notify(change)) toldAt.delete(link);
        continue;
      }
      const whole = wholes.get(feed) ?? { ...feed.createFullNotice(), ...envelope };
      wholes.set(feed, whole);
      if (link.notify(whole)) toldAt.set(link, now);
    }
  }

  #findGroup({ peer }: Link): PeerGroup {
    if (peer?.role === 'scheduler') return this.#schedulers;
    return peer?.dataCentre === this.#dataCentre ? this.#localEntries : this.#remoteEntries;
  }
}
