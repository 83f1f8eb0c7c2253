import type { JobState } from '@toucanline/schema';
import type { LeaderController } from './LeaderController.js';
import { LeaderClient } from './LeaderClient.js';
import type { PeerLinks } from './PeerLinks.js';

/** Routes queries to the leader on this host, or over a link to the leader on another host. */
export class LeaderRouter extends LeaderClient {
  readonly #links: PeerLinks;
  readonly #getLocalLeader: () => LeaderController | undefined;

  /**
   * @param links - links to other hosts
   * @param getLocalLeader - returns the leader on this host; undefined if this host is not the leader
   */
  public constructor(links: PeerLinks, getLocalLeader: () => LeaderController | undefined) {
    super();
    this.#links = links;
    this.#getLocalLeader = getLocalLeader;
  }

  /** {@inheritDoc LeaderClient.findState} */
  public override async findState(id: string): Promise<JobState | 'unknown' | undefined> {
    const localLeader = this.#getLocalLeader();
    if (localLeader !== undefined)
      return localLeader.isLoaded ? (localLeader.findState(id) ?? 'unknown') : undefined;
    const reply = await this.#links.callLeader({ call: 'jobState', id });
    return reply?.reply === 'jobState' ? (reply.state ?? 'unknown') : undefined;
  }

  /** {@inheritDoc LeaderClient.announceJob} */
  public override announceJob(key: string, value: string, revision: number): void {
    const localLeader = this.#getLocalLeader();
    if (localLeader !== undefined) localLeader.addAnnouncedJob(key, value, revision);
    else void this.#links.callLeader({ call: 'jobAccepted', key, value, revision });
  }

  /** {@inheritDoc LeaderClient.countWaiting} */
  public override async countWaiting(queue: string): Promise<number | undefined> {
    const localLeader = this.#getLocalLeader();
    if (localLeader !== undefined)
      return localLeader.isLoaded ? localLeader.countWaiting(queue) : undefined;
    const reply = await this.#links.callLeader({ call: 'queueDepth', queue });
    return reply?.reply === 'queueDepth' ? reply.waiting : undefined;
  }
}
