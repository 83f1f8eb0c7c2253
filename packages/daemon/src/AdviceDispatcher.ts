import type { Command, PlacementAdvisor } from '@toucanline/jobs';
import type { PlacementPermit } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import type { DecisionLog } from './DecisionLog.js';
import { hostTimes } from './hostTimes.js';

type AdviceOrder = Extract<Command, { kind: 'advise' }>;

/** Bound of a call beyond its expected duration, in milliseconds: the service may be slow for a while. */
const slackMs = 1500;
/** A host whose call failed is left out for this long, in milliseconds. */
const laneRetryMs = 1000;

/** A host through which permits are requested, one call at a time. */
interface Lane {
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
  readonly #links: () => readonly Link[];
  readonly #take: (order: AdviceOrder, permits: readonly PlacementPermit[] | undefined) => void;
  readonly #log: DecisionLog;
  readonly #own: Lane = { link: undefined, isBusy: false, pausedUntil: 0 };
  readonly #lanes = new Map<Link, Lane>();
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
    log: DecisionLog,
  ) {
    this.#advisor = advisor;
    this.#links = links;
    this.#take = take;
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
    this.#next();
  }

  #next(): void {
    const lanes = this.#listLanes();
    const rest: AdviceOrder[] = [];
    for (const order of this.#queue) {
      const lane = lanes.find((each) => this.#isFree(each, order, lanes.length));
      if (lane === undefined) rest.push(order);
      else void this.#ask(lane, order);
    }
    this.#queue = rest;
  }

  #listLanes(): readonly Lane[] {
    const links = this.#links().filter((link) => link.peer !== undefined && !link.isClosed);
    for (const known of this.#lanes.keys()) if (!links.includes(known)) this.#lanes.delete(known);
    const others = links.map((link) => {
      const lane = this.#lanes.get(link) ?? { link, isBusy: false, pausedUntil: 0 };
      this.#lanes.set(link, lane);
      return lane;
    });
    return [this.#own, ...others];
  }

  #isFree(lane: Lane, order: AdviceOrder, laneCount: number): boolean {
    if (lane.isBusy || lane.pausedUntil > performance.now()) return false;
    return lane !== this.#own || laneCount === 1 || order.expectedMs < hostTimes.shortAdviceMs;
  }

  async #ask(lane: Lane, order: AdviceOrder): Promise<void> {
    lane.isBusy = true;
    const sentAt = performance.now();
    const workers = order.workers.map(({ id }) => id);
    const permits =
      lane.link === undefined
        ? await this.#advisor.requestPermits(order.stepKey, workers)
        : await this.#askPeer(lane.link, order, workers);
    lane.isBusy = false;
    if (permits === undefined) lane.pausedUntil = performance.now() + laneRetryMs;
    this.#log.write('permitsAnswered', {
      step: order.stepKey,
      asked: workers.length,
      allowed: permits?.length ?? -1,
      through: lane.link?.peer?.process ?? 'self',
      durationMs: Math.round(performance.now() - sentAt),
    });
    this.#take(order, permits);
    this.#next();
  }

  async #askPeer(
    link: Link,
    order: AdviceOrder,
    workers: readonly string[],
  ): Promise<readonly PlacementPermit[] | undefined> {
    const call = { call: 'permits', step: order.stepKey, workers } as const;
    const reply = await link.call(call, order.expectedMs * 2 + slackMs);
    return reply.isOk() && reply.value.reply === 'permits' ? reply.value.permits : undefined;
  }
}
