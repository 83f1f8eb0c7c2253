import type { JobState } from '@toucanline/schema';
import type { LeaderController } from './LeaderController.js';
import { LeaderClient } from './LeaderClient.js';
import type { PeerLinks } from './PeerLinks.js';

/** The leader, on this host or over a link. */
export class LeaderRouter extends LeaderClient {
  readonly #links: PeerLinks;
  readonly #getLocalLeader: () => LeaderController | undefined;

  /**
   * @param links - links to other hosts
   * @param leadership - the leader's work, if this host is the leader
   */
  public constructor(links: PeerLinks, leadership: () => LeaderController | undefined) {
    super();
    this.#links = links;
    this.#getLocalLeader = leadership;
  }

  /** {@inheritDoc LeaderView.findState} */
  public override async findState(id: string): Promise<JobState | 'unknown' | undefined> {
    const own = this.#getLocalLeader();
    if (own !== undefined) return own.isLoaded ? (own.findState(id) ?? 'unknown') : undefined;
    const reply = await this.#links.callLeader({ call: 'jobState', id });
    return reply?.reply === 'jobState' ? (reply.state ?? 'unknown') : undefined;
  }

  /** {@inheritDoc LeaderView.announce} */
  public override announceJob(key: string, value: string, revision: number): void {
    const own = this.#getLocalLeader();
    if (own !== undefined) own.addAnnouncedJob(key, value, revision);
    else void this.#links.callLeader({ call: 'jobAccepted', key, value, revision });
  }

  /** {@inheritDoc LeaderView.countWaiting} */
  public override async countWaiting(queue: string): Promise<number | undefined> {
    const own = this.#getLocalLeader();
    if (own !== undefined) return own.isLoaded ? own.countWaiting(queue) : undefined;
    const reply = await this.#links.callLeader({ call: 'queueDepth', queue });
    return reply?.reply === 'queueDepth' ? reply.waiting : undefined;
  }
}
