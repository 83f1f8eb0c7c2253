import { createFailure } from '@toucanline/core';
import type { PlacementAdvisor } from '@toucanline/jobs';
import type { CallBody, Hello, ReplyBody } from '@toucanline/schema';
import { LinkDialer, LinkHandler, LinkListener, type Link } from '@toucanline/wire';
import { hostLimits } from './hostLimits.js';
import type { LeaderController } from './LeaderController.js';

/** Links between the hosts: each host keeps one to the leader, and answers calls that come over them. */
export class PeerLinks extends LinkHandler {
  readonly #hello: Hello;
  readonly #address: string;
  readonly #advisor: PlacementAdvisor;
  readonly #getLocalLeader: () => LeaderController | undefined;
  readonly #listener: LinkListener;
  #dialer: LinkDialer | undefined;

  /**
   * @param hello - what this process tells of itself
   * @param address - address on which it listens
   * @param advisor - the advice service, called from this host
   * @param leadership - the leader's work, if this host is the leader
   */
  public constructor(
    hello: Hello,
    address: string,
    advisor: PlacementAdvisor,
    leadership: () => LeaderController | undefined,
  ) {
    super();
    this.#hello = hello;
    this.#address = address;
    this.#advisor = advisor;
    this.#getLocalLeader = leadership;
    this.#listener = new LinkListener(hello, this);
  }

  /** Links of other hosts to this one. */
  public get incomingLinks(): readonly Link[] {
    return this.#listener.links;
  }

  /** Starts to listen. */
  public async listen(): Promise<void> {
    const [host = '', port = '0'] = this.#address.split(':');
    await this.#listener.listen(host, Number(port));
  }

  /**
   * Keeps a link to the leader.
   *
   * @param address - its address; undefined if there is none or this host is the leader
   */
  public connectToLeader(address: string | undefined): void {
    const wanted = address === this.#address ? undefined : address;
    if (this.#dialer?.address === wanted) return;
    this.#dialer?.stop();
    this.#dialer = wanted === undefined ? undefined : new LinkDialer(wanted, this.#hello, this);
  }

  /** Closes all links. */
  public close(): void {
    this.#dialer?.stop();
    this.#listener.close();
  }

  /**
   * Calls the leader.
   *
   * @param body - the call
   * @returns the reply; undefined without one
   */
  public async callLeader(body: CallBody): Promise<ReplyBody | undefined> {
    const link = this.#dialer?.link;
    if (link === undefined) return undefined;
    const reply = await link.call(body, hostLimits.leaderCallTimeoutMs);
    return reply.isOk() ? reply.value : undefined;
  }

  /** {@inheritDoc LinkHandler.handleOpen} */
  public override handleOpen(): void {
    // Nothing is told before it is asked for.
  }

  /** {@inheritDoc LinkHandler.handleCall} */
  public override async handleCall(_link: Link, body: CallBody): Promise<ReplyBody> {
    if (body.call === 'permits') {
      const permits = await this.#advisor.requestPermits(body.step, body.workers);
      return permits === undefined
        ? this.#createFailureReply('the advice service did not answer')
        : { reply: 'permits', permits };
    }
    const leadership = this.#getLocalLeader();
    if (leadership?.isLoaded !== true)
      return this.#createFailureReply('this host is not the leader');
    if (body.call === 'jobAccepted') {
      leadership.addAnnouncedJob(body.key, body.value, body.revision);
      return { reply: 'done' };
    }
    if (body.call === 'jobState') {
      const state = leadership.findState(body.id);
      return { reply: 'jobState', ...(state === undefined ? {} : { state }) };
    }
    if (body.call === 'queueDepth') {
      return { reply: 'queueDepth', waiting: leadership.countWaiting(body.queue) };
    }
    return this.#createFailureReply(`hosts do not answer ${body.call}`);
  }

  /** {@inheritDoc LinkHandler.handleNotice} */
  public override handleNotice(): void {
    // Hosts send no notices.
  }

  /** {@inheritDoc LinkHandler.handleActivity} */
  public override handleActivity(): void {
    // Links watch their silence themselves.
  }

  /** {@inheritDoc LinkHandler.handleClose} */
  public override handleClose(): void {
    // The dialer reconnects, and calls in flight end as lost.
  }

  #createFailureReply(detail: string): ReplyBody {
    return { reply: 'failure', failure: createFailure('notOwner', detail) };
  }
}
