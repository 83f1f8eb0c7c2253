import type { Command, PlacementAdvisor } from '@toucanline/jobs';
import type { PlacementPermit } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';

type AdviceOrder = Extract<Command, { kind: 'advise' }>;

/** Bound of a call beyond its expected duration, in milliseconds: the service may be slow for a while. */
const timeoutMarginMs = 1500;
/** A host whose call failed is left out for this long, in milliseconds. */
const channelRetryMs = 1000;

/** A host through which permits are requested, one call at a time. */
interface Channel {
  readonly link: Link | undefined;
  isBusy: boolean;
  pausedUntil: number;
}

/**
 * Spreads calls for permits over the hosts, since the advice service serves each calling host one call at a time.
 * The leader's own lane is kept for short calls, so that urgent steps do not wait behind long ones.
 */
export class AdviceDispatcher {
  readonly #advisor: PlacementAdvisor;
  readonly #listLinks: () => readonly Link[];
  readonly #onAnswer: (order: AdviceOrder, permits: readonly PlacementPermit[] | undefined) => void;
  readonly #log: EventLog;
  readonly #localChannel: Channel = { link: undefined, isBusy: false, pausedUntil: 0 };
  readonly #peerChannels = new Map<Link, Channel>();
  #queue: readonly AdviceOrder[] = [];

  /**
   * @param advisor - the advice service, called from this host
   * @param links - links to the other hosts
   * @param take - takes the answers
   * @param log - log of the process
   */
  public constructor(
    advisor: PlacementAdvisor,
    links: () => readonly Link[],
    take: (order: AdviceOrder, permits: readonly PlacementPermit[] | undefined) => void,
    log: EventLog,
  ) {
    this.#advisor = advisor;
    this.#listLinks = links;
    this.#onAnswer = take;
    this.#log = log;
  }

  /**
   * Requests permits as soon as a host is free.
   *
   * @param order - what to ask
   */
  public dispatch(order: AdviceOrder): void {
    this.#queue = [...this.#queue, order].sort(
      (a, b) => a.priority - b.priority || a.expectedMs - b.expectedMs,
    );
    this.#sendQueued();
  }

  #sendQueued(): void {
    const lanes = this.#listChannels();
    const rest: AdviceOrder[] = [];
    for (const order of this.#queue) {
      const lane = lanes.find((each) => this.#isAvailable(each, order, lanes.length));
      if (lane === undefined) rest.push(order);
      else void this.#send(lane, order);
    }
    this.#queue = rest;
  }

  #listChannels(): readonly Channel[] {
    const links = this.#listLinks().filter((link) => link.peer !== undefined && !link.isClosed);
    for (const known of this.#peerChannels.keys())
      if (!links.includes(known)) this.#peerChannels.delete(known);
    const others = links.map((link) => {
      const lane = this.#peerChannels.get(link) ?? { link, isBusy: false, pausedUntil: 0 };
      this.#peerChannels.set(link, lane);
      return lane;
    });
    return [this.#localChannel, ...others];
  }

  #isAvailable(lane: Channel, order: AdviceOrder, laneCount: number): boolean {
    if (lane.isBusy || lane.pausedUntil > performance.now()) return false;
    return (
      lane !== this.#localChannel ||
      laneCount === 1 ||
      order.expectedMs < hostLimits.shortAdviceCallMs
    );
  }

  async #send(lane: Channel, order: AdviceOrder): Promise<void> {
    lane.isBusy = true;
    const sentAt = performance.now();
    const workers = order.workers.map(({ id }) => id);
    const permits =
      lane.link === undefined
        ? await this.#advisor.requestPermits(order.stepKey, workers)
        : await this.#sendToPeer(lane.link, order, workers);
    lane.isBusy = false;
    if (permits === undefined) lane.pausedUntil = performance.now() + channelRetryMs;
    this.#log.write('permitsAnswered', {
      step: order.stepKey,
      asked: workers.length,
      allowed: permits?.length ?? -1,
      through: lane.link?.peer?.process ?? 'self',
      durationMs: Math.round(performance.now() - sentAt),
    });
    this.#onAnswer(order, permits);
    this.#sendQueued();
  }

  async #sendToPeer(
    link: Link,
    order: AdviceOrder,
    workers: readonly string[],
  ): Promise<readonly PlacementPermit[] | undefined> {
    const call = { call: 'permits', step: order.stepKey, workers } as const;
    const reply = await link.call(call, order.expectedMs * 2 + timeoutMarginMs);
    return reply.isOk() && reply.value.reply === 'permits' ? reply.value.permits : undefined;
  }
}
