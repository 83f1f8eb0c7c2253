import { LoadFeed } from '@toucanline/core';
import type { LoadNotice } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';

/**
 * Minimum intervals of notices of changed loads, in the data centre of this process and in others; slightly below a
 * multiple of the interval in which the daemon calls. Entries of other data centres send work only if their own data
 * centre has no free capacity.
 */
const localNoticeIntervalMs = 900;
const remoteNoticeIntervalMs = 1900;
/** Interval after which a peer gets a notice with the full state again. */
const fullNoticeIntervalMs = 60_000;

/** Group of peers that get the same notices. */
interface PeerGroup {
  readonly feed: LoadFeed;
  /** Local monotonic time when the last full notice was sent on a link, in milliseconds. */
  readonly fullNoticeSentAt: WeakMap<Link, number>;
}

const createPeerGroup = (periodMs: number, withTeams: boolean): PeerGroup => ({
  feed: new LoadFeed(periodMs, withTeams),
  fullNoticeSentAt: new WeakMap(),
});

/** Notifies peers of the loads and revisions of this process. */
export class LoadNotifier {
  readonly #dataCentre: string;
  /** Only schedulers get the amounts per team: entries route by free capacity alone. */
  readonly #schedulers = createPeerGroup(localNoticeIntervalMs, true);
  readonly #localEntries = createPeerGroup(localNoticeIntervalMs, false);
  readonly #remoteEntries = createPeerGroup(remoteNoticeIntervalMs, false);

  /** @param dataCentre - data centre of this process */
  public constructor(dataCentre: string) {
    this.#dataCentre = dataCentre;
  }

  /**
   * Sends the changes to each peer, or the full state if a peer has had none or its last full notice is 60 s old.
   *
   * @param links - open links
   * @param now - local monotonic time in milliseconds
   * @param state - loads and revisions of this process
   * @param envelope - additional fields of full notices
   */
  public notifyPeers(
    links: readonly Link[],
    now: number,
    state: Parameters<LoadFeed['createChangeNotice']>[1],
    envelope: Pick<LoadNotice, 'keysAgeMs' | 'stamp'>,
  ): void {
    const groups = [this.#schedulers, this.#localEntries, this.#remoteEntries];
    const changes = new Map(groups.map(({ feed }) => [feed, feed.createChangeNotice(now, state)]));
    const fullNotices = new Map<LoadFeed, LoadNotice>();
    const notified = new Set<string>();
    for (const link of links) {
      // Two schedulers dial each other, so there may be two links to one process.
      if (link.peer === undefined || notified.has(link.peer.process)) continue;
      notified.add(link.peer.process);
      const { feed, fullNoticeSentAt } = this.#findGroup(link);
      const lastSentAt = fullNoticeSentAt.get(link);
      if (lastSentAt !== undefined && now - lastSentAt < fullNoticeIntervalMs) {
        const change = changes.get(feed);
        if (change !== undefined && !link.notify(change)) fullNoticeSentAt.delete(link);
        continue;
      }
      const fullNotice = fullNotices.get(feed) ?? { ...feed.createFullNotice(), ...envelope };
      fullNotices.set(feed, fullNotice);
      if (link.notify(fullNotice)) fullNoticeSentAt.set(link, now);
    }
  }

  #findGroup({ peer }: Link): PeerGroup {
    if (peer?.role === 'scheduler') return this.#schedulers;
    return peer?.dataCentre === this.#dataCentre ? this.#localEntries : this.#remoteEntries;
  }
}
