import { createFailure } from '@toucanline/core';
import type { PlacementAdvisor } from '@toucanline/jobs';
import type { ConnectionGuard } from '@toucanline/runtime/ConnectionGuard';
import type { CallBody, ForecastNotice, Hello, NoticeBody, ReplyBody } from '@toucanline/schema';
import {
  LinkDialer,
  LinkHandler,
  LinkListener,
  type Link,
  type LinkRefusal,
} from '@toucanline/wire';
import { hostLimits } from './hostLimits.js';
import type { LeaderController } from './LeaderController.js';

/** Links between hosts: each host keeps a link to the leader, and answers calls that arrive over any link. */
export class PeerLinks extends LinkHandler {
  readonly #hello: Hello;
  readonly #address: string;
  readonly #advisor: PlacementAdvisor;
  readonly #getLocalLeader: () => LeaderController | undefined;
  readonly #onForecast: (forecast: ForecastNotice) => void;
  readonly #listener: LinkListener;
  #dialer: LinkDialer | undefined;

  /**
   * @param hello - introduction of this process to its peers
   * @param address - IP and port on which this host listens for links
   * @param advisor - client of the advice service
   * @param getLocalLeader - returns the leader on this host; undefined if this host is not the leader
   * @param connectionGuard - limits the links that other hosts open
   * @param onForecast - called for each forecast of the leader
   */
  public constructor(
    hello: Hello,
    address: string,
    advisor: PlacementAdvisor,
    getLocalLeader: () => LeaderController | undefined,
    connectionGuard: ConnectionGuard,
    onForecast: (forecast: ForecastNotice) => void,
  ) {
    super();
    this.#onForecast = onForecast;
    this.#hello = hello;
    this.#address = address;
    this.#advisor = advisor;
    this.#getLocalLeader = getLocalLeader;
    const { budgets, turns } = connectionGuard;
    const report = (reason: LinkRefusal): void => {
      connectionGuard.reportLink(reason);
    };
    this.#listener = new LinkListener(hello, this, budgets.links, report, turns);
  }

  /** Links that other hosts have opened to this one. */
  public get incomingLinks(): readonly Link[] {
    return this.#listener.links;
  }

  /** Starts to listen for links. */
  public async listen(): Promise<void> {
    const [host = '', port = '0'] = this.#address.split(':');
    await this.#listener.listen(host, Number(port));
  }

  /**
   * Keeps a link to the leader and drops the one to a previous leader.
   *
   * @param address - IP and port of the leader; undefined if there is none. The address of this host opens no link.
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
   * Sends a call to the leader.
   *
   * @param body - call
   * @returns the reply; undefined if there is no link to the leader or no reply
   */
  public async callLeader(body: CallBody): Promise<ReplyBody | undefined> {
    const link = this.#dialer?.link;
    if (link === undefined) return undefined;
    const reply = await link.call(body, hostLimits.leaderCallTimeoutMs);
    return reply.isOk() ? reply.value : undefined;
  }

  /** {@inheritDoc LinkHandler.handleOpen} */
  public override handleOpen(): void {
    // Hosts send nothing unprompted.
  }

  /** {@inheritDoc LinkHandler.handleCall} */
  public override async handleCall(_link: Link, body: CallBody): Promise<ReplyBody> {
    if (body.call === 'permits') {
      const permits = await this.#advisor.requestPermits(body.step, body.workers);
      return permits === undefined
        ? this.#createFailureReply('the advice service did not answer')
        : { reply: 'permits', permits };
    }
    const localLeader = this.#getLocalLeader();
    if (localLeader?.isLoaded !== true)
      return this.#createFailureReply('this host is not the leader');
    if (body.call === 'jobAccepted') {
      localLeader.addAnnouncedJob(body.key, body.value, body.revision);
      return { reply: 'done' };
    }
    if (body.call === 'jobState') {
      const state = localLeader.findState(body.id);
      return { reply: 'jobState', ...(state === undefined ? {} : { state }) };
    }
    if (body.call === 'queueDepth') {
      return { reply: 'queueDepth', waiting: localLeader.countWaiting(body.queue) };
    }
    return this.#createFailureReply(`hosts do not answer ${body.call}`);
  }

  /** {@inheritDoc LinkHandler.handleNotice} */
  public override handleNotice(link: Link, body: NoticeBody): void {
    // A previous leader may send its last forecast over a link that is being replaced.
    if (body.notice === 'forecast' && link === this.#dialer?.link) this.#onForecast(body);
  }

  /** {@inheritDoc LinkHandler.handleActivity} */
  public override handleActivity(): void {
    // Links detect a silent peer themselves.
  }

  /** {@inheritDoc LinkHandler.handleClose} */
  public override handleClose(): void {
    // The dialer reconnects, and pending calls fail.
  }

  #createFailureReply(detail: string): ReplyBody {
    return { reply: 'failure', failure: createFailure('notOwner', detail) };
  }
}
