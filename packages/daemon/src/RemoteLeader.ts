import type { JobState } from '@toucanline/schema';
import type { Leadership } from './Leadership.js';
import { LeaderView } from './LeaderView.js';
import type { PeerLinks } from './PeerLinks.js';

/** The leader, on this host or over a link. */
export class RemoteLeader extends LeaderView {
  readonly #links: PeerLinks;
  readonly #leadership: () => Leadership | undefined;

  /**
   * @param links - links to other hosts
   * @param leadership - the leader's work, if this host is the leader
   */
  public constructor(links: PeerLinks, leadership: () => Leadership | undefined) {
    super();
    this.#links = links;
    this.#leadership = leadership;
  }

  /** {@inheritDoc LeaderView.findState} */
  public override async findState(id: string): Promise<JobState | 'unknown' | undefined> {
    const own = this.#leadership();
    if (own !== undefined) return own.isLoaded ? (own.findState(id) ?? 'unknown') : undefined;
    const reply = await this.#links.callLeader({ call: 'jobState', id });
    return reply?.reply === 'jobState' ? (reply.state ?? 'unknown') : undefined;
  }

  /** {@inheritDoc LeaderView.announce} */
  public override announce(key: string, value: string, revision: number): void {
    const own = this.#leadership();
    if (own !== undefined) own.announce(key, value, revision);
    else void this.#links.callLeader({ call: 'jobAccepted', key, value, revision });
  }

  /** {@inheritDoc LeaderView.countWaiting} */
  public override async countWaiting(queue: string): Promise<number | undefined> {
    const own = this.#leadership();
    if (own !== undefined) return own.isLoaded ? own.countWaiting(queue) : undefined;
    const reply = await this.#links.callLeader({ call: 'queueDepth', queue });
    return reply?.reply === 'queueDepth' ? reply.waiting : undefined;
  }
}
