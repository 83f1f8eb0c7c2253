import type { Command, PlacementAdvisor } from '@toucanline/jobs';
import type { PlacementPermit } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';

type AdviceCommand = Extract<Command, { kind: 'advise' }>;

/** Added to the timeout of a call, in milliseconds: the advice service may be slow for a while. */
const timeoutMarginMs = 1500;
/** Delay of an answer from which its host, which may be cut off, gets no further calls, in milliseconds. */
const overdueMs = 150;
/** Time for which a host is not used after a failed call, in milliseconds. */
const channelRetryMs = 1000;

/** Host through which permits are requested. */
interface Channel {
  /** Link to the host; undefined for this host. */
  readonly link: Link | undefined;
  /** Number of calls that were sent and not answered. */
  pendingCalls: number;
  /** Expected duration of these calls together, in milliseconds. */
  pendingMs: number;
  /** Monotonic time of the last answer, or of the first of these calls if that is later, in milliseconds. */
  progressAt: number;
  /** Monotonic time until which the host is not used, in milliseconds. */
  pausedUntil: number;
}

/**
 * Distributes requests for permits over the hosts, since the advice service serves each calling host one call at a
 * time. The leader's own channel is reserved for short calls, so that urgent steps do not wait behind long ones. Short
 * calls are sent before the ones ahead of them are answered: a busy leader takes longer to handle an answer than the
 * service to give it, and the channel would be idle meanwhile.
 */
export class AdviceDispatcher {
  readonly #advisor: PlacementAdvisor;
  readonly #listLinks: () => readonly Link[];
  readonly #onAnswer: (
    command: AdviceCommand,
    permits: readonly PlacementPermit[] | undefined,
  ) => void;
  readonly #log: EventLog;
  readonly #localChannel: Channel = {
    link: undefined,
    pendingCalls: 0,
    pendingMs: 0,
    progressAt: 0,
    pausedUntil: 0,
  };
  readonly #peerChannels = new Map<Link, Channel>();
  #queue: readonly AdviceCommand[] = [];

  /**
   * @param advisor - client of the advice service on this host
   * @param listLinks - lists the links to other hosts
   * @param onAnswer - receives the permits; undefined without an answer
   * @param log - event log of this process
   */
  public constructor(
    advisor: PlacementAdvisor,
    listLinks: () => readonly Link[],
    onAnswer: (command: AdviceCommand, permits: readonly PlacementPermit[] | undefined) => void,
    log: EventLog,
  ) {
    this.#advisor = advisor;
    this.#listLinks = listLinks;
    this.#onAnswer = onAnswer;
    this.#log = log;
  }

  /**
   * Requests permits as soon as a channel is available.
   *
   * @param command - step and candidate workers
   */
  public dispatch(command: AdviceCommand): void {
    this.#queue = [...this.#queue, command].sort(
      (a, b) => a.priority - b.priority || a.expectedMs - b.expectedMs,
    );
    this.#sendQueued();
  }

  #sendQueued(): void {
    const channels = this.#listChannels();
    const remaining: AdviceCommand[] = [];
    // A channel that cannot take a call cannot take a longer one either.
    let refusedMs = Infinity;
    for (const command of this.#queue) {
      const { expectedMs } = command;
      const channel = expectedMs < refusedMs ? this.#chooseChannel(channels, command) : undefined;
      if (channel !== undefined) void this.#send(channel, command);
      else {
        remaining.push(command);
        refusedMs = Math.min(refusedMs, expectedMs);
      }
    }
    this.#queue = remaining;
  }

  #listChannels(): readonly Channel[] {
    const links = this.#listLinks().filter((link) => link.peer !== undefined && !link.isClosed);
    for (const known of this.#peerChannels.keys())
      if (!links.includes(known)) this.#peerChannels.delete(known);
    const others = links.map((link) => {
      const channel = this.#peerChannels.get(link) ?? {
        link,
        pendingCalls: 0,
        pendingMs: 0,
        progressAt: 0,
        pausedUntil: 0,
      };
      this.#peerChannels.set(link, channel);
      return channel;
    });
    return [this.#localChannel, ...others];
  }

  /** Chooses the available channel on which the call is served first; the leader's own one needs no hop. */
  #chooseChannel(channels: readonly Channel[], command: AdviceCommand): Channel | undefined {
    const now = performance.now();
    return channels
      .filter((channel) => this.#isAvailable(channel, command, channels.length, now))
      .reduce<Channel | undefined>(
        (best, channel) =>
          best === undefined || channel.pendingMs < best.pendingMs ? channel : best,
        undefined,
      );
  }

  #isAvailable(
    channel: Channel,
    { expectedMs }: AdviceCommand,
    channelCount: number,
    now: number,
  ): boolean {
    if (channel.pausedUntil > now) return false;
    const { shortAdviceCallMs } = hostLimits;
    const isReserved = channel.link === undefined && channelCount > 1;
    if (isReserved && expectedMs >= shortAdviceCallMs) return false;
    if (channel.pendingCalls === 0) return true;
    const isOverdue = now - channel.progressAt > channel.pendingMs + overdueMs;
    return !isOverdue && channel.pendingMs + expectedMs <= shortAdviceCallMs;
  }

  async #send(channel: Channel, command: AdviceCommand): Promise<void> {
    const sentAt = performance.now();
    if (channel.pendingCalls === 0) channel.progressAt = sentAt;
    channel.pendingCalls += 1;
    channel.pendingMs += command.expectedMs;
    const workers = command.workers.map(({ id }) => id);
    const permits =
      channel.link === undefined
        ? await this.#advisor.requestPermits(command.stepKey, workers)
        : await this.#sendToPeer(channel.link, command, workers);
    channel.progressAt = performance.now();
    channel.pendingCalls -= 1;
    // Without calls the sum starts anew, since rounding errors would add up.
    channel.pendingMs = channel.pendingCalls === 0 ? 0 : channel.pendingMs - command.expectedMs;
    if (permits === undefined) channel.pausedUntil = performance.now() + channelRetryMs;
    this.#log.write('permitsAnswered', {
      step: command.stepKey,
      asked: workers.length,
      allowed: permits?.length ?? -1,
      through: channel.link?.peer?.process ?? 'self',
      durationMs: Math.round(performance.now() - sentAt),
    });
    this.#onAnswer(command, permits);
    this.#sendQueued();
  }

  async #sendToPeer(
    link: Link,
    command: AdviceCommand,
    workers: readonly string[],
  ): Promise<readonly PlacementPermit[] | undefined> {
    const call = { call: 'permits', step: command.stepKey, workers } as const;
    const reply = await link.call(call, command.expectedMs * 2 + timeoutMarginMs);
    return reply.isOk() && reply.value.reply === 'permits' ? reply.value.permits : undefined;
  }
}
