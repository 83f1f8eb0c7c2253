import { TurnShare, type Command, type PlacementAdvisor } from '@toucanline/jobs';
import type { PlacementPermit } from '@toucanline/schema';
import type { Link } from '@toucanline/wire';
import { AdviceChannel } from './AdviceChannel.js';
import { AdviceQueue } from './AdviceQueue.js';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';

type AdviceCommand = Extract<Command, { kind: 'advise' }>;

/** Added to the timeout of a call, in milliseconds: the advice service may be slow for a while. */
const timeoutMarginMs = 1500;

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
  readonly #localChannel = new AdviceChannel(undefined);
  readonly #peerChannels = new Map<Link, AdviceChannel>();
  readonly #queue = new AdviceQueue();
  readonly #turnShare = new TurnShare();
  /** Keys of the steps of early calls that have no answer yet. */
  readonly #earlyCalls = new Set<string>();
  /** Monotonic time since which requests have been queued without a break, in milliseconds; undefined if none are. */
  #queuedSince: number | undefined;
  #reportedAt = -Infinity;
  #retryTimer: NodeJS.Timeout | undefined;
  #isStopped = false;

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
   * Requests permits as soon as a channel is available. If an early call for the step has no answer yet, its answer is
   * used instead.
   *
   * @param command - step and candidate workers
   */
  public dispatch(command: AdviceCommand): void {
    if (this.#isStopped || this.#earlyCalls.has(command.stepKey)) return;
    this.#queue.add(command, performance.now());
    this.#sendQueued();
  }

  /**
   * Sets the steps whose requests go before others, within their share of the channels.
   *
   * @param keys - keys of the steps that have a turn, the first one first
   */
  public setTurns(keys: readonly string[]): void {
    this.#queue.setTurns(keys);
  }

  /** Drops the queued requests and sends no further ones. */
  public stop(): void {
    this.#isStopped = true;
    this.#queue.clear();
    clearInterval(this.#retryTimer);
  }

  #sendQueued(): void {
    if (this.#isStopped) return;
    const now = performance.now();
    const channels = this.#listChannels();
    const held = new Set<AdviceChannel>();
    for (const command of this.#queue.listOverdue(now)) {
      const channel = this.#chooseChannel(channels, held, command, now);
      if (channel !== undefined) this.#sendNow(channel, command, now);
      // Short calls would keep each channel from taking a long one, so one channel is left idle for it.
      else this.#holdChannel(channels, held, now);
    }
    // A channel that cannot take a call cannot take a longer one either.
    let refusedMs = Infinity;
    let turns = this.#queue.listTurns();
    const sent = new Set<AdviceCommand>();
    for (const command of this.#queue.list()) {
      turns = this.#sendTurns(turns, channels, held, sent, now);
      const { expectedMs } = command;
      if (expectedMs >= refusedMs || sent.has(command)) continue;
      const channel = this.#chooseChannel(channels, held, command, now);
      if (channel === undefined) {
        refusedMs = expectedMs;
        continue;
      }
      sent.add(command);
      this.#sendNow(channel, command, now);
    }
    this.#updateRetryTimer();
  }

  /** Sends requests of steps with a turn, up to their share; returns those that may follow after other requests. */
  #sendTurns(
    turns: readonly AdviceCommand[],
    channels: readonly AdviceChannel[],
    held: Set<AdviceChannel>,
    sent: Set<AdviceCommand>,
    now: number,
  ): readonly AdviceCommand[] {
    let rest = turns.filter((command) => !sent.has(command));
    for (;;) {
      const [command] = rest;
      if (command === undefined || !this.#turnShare.canTake(channels.length, now)) return rest;
      const channel = this.#chooseChannel(channels, held, command, now);
      if (channel === undefined) {
        // As for services: short calls would keep each channel from taking a long one.
        if (held.size === 0) this.#holdChannel(channels, held, now);
        return [];
      }
      sent.add(command);
      this.#queue.takeSent(command, now);
      void this.#send(channel, command, this.#turnShare.begin(now + command.expectedMs));
      rest = rest.slice(1);
    }
  }

  #sendNow(channel: AdviceChannel, command: AdviceCommand, now: number): void {
    this.#queue.takeSent(command, now);
    this.#turnShare.recordOther();
    void this.#send(channel, command);
  }

  /** Holds the channel to another host that is idle first. */
  #holdChannel(channels: readonly AdviceChannel[], held: Set<AdviceChannel>, now: number): void {
    const channel = findLeastPending(
      channels.filter((each) => each.link !== undefined && !held.has(each) && each.canTake(0, now)),
    );
    if (channel !== undefined) held.add(channel);
  }

  /**
   * Retries while requests are queued. A channel also becomes available without an answer: when its pause ends, or when
   * a link is opened or closed.
   */
  #updateRetryTimer(): void {
    if (this.#queue.size === 0) {
      clearInterval(this.#retryTimer);
      this.#retryTimer = undefined;
      this.#queuedSince = undefined;
      return;
    }
    this.#queuedSince ??= performance.now();
    this.#retryTimer ??= setInterval(() => {
      this.#sendQueued();
      this.#logDelay();
    }, hostLimits.adviceRetryMs);
  }

  /** Logs at intervals that requests have been queued for long. */
  #logDelay(): void {
    const now = performance.now();
    const { first, size } = this.#queue;
    if (first === undefined || this.#queuedSince === undefined) return;
    if (now - Math.max(this.#queuedSince, this.#reportedAt) < hostLimits.adviceDelayLogMs) return;
    this.#reportedAt = now;
    this.#log.write('permitsDelayed', {
      step: first.stepKey,
      queued: size,
      hosts: 1 + this.#peerChannels.size,
      queuedMs: Math.round(now - this.#queuedSince),
    });
  }

  #listChannels(): readonly AdviceChannel[] {
    const links = this.#listLinks().filter((link) => link.peer !== undefined && !link.isClosed);
    for (const known of this.#peerChannels.keys())
      if (!links.includes(known)) this.#peerChannels.delete(known);
    const others = links.map((link) => {
      const channel = this.#peerChannels.get(link) ?? new AdviceChannel(link);
      this.#peerChannels.set(link, channel);
      return channel;
    });
    return [this.#localChannel, ...others];
  }

  /** Chooses the channel on which the call is served first; the leader's own one needs no hop. */
  #chooseChannel(
    channels: readonly AdviceChannel[],
    held: ReadonlySet<AdviceChannel>,
    { expectedMs }: AdviceCommand,
    now: number,
  ): AdviceChannel | undefined {
    const isReserved = channels.length > 1 && expectedMs >= hostLimits.shortAdviceCallMs;
    return findLeastPending(
      channels
        .filter((channel) => !held.has(channel) && (channel.link !== undefined || !isReserved))
        .filter((channel) => channel.canTake(expectedMs, now)),
    );
  }

  async #send(channel: AdviceChannel, command: AdviceCommand, endTurn?: () => void): Promise<void> {
    const sentAt = performance.now();
    channel.begin(command.expectedMs, sentAt);
    if (command.isEarly) this.#earlyCalls.add(command.stepKey);
    const workers = command.workers.map(({ id }) => id);
    const permits = await this.#requestPermits(channel.link, command, workers);
    channel.end(command.expectedMs, performance.now(), permits !== undefined);
    if (command.isEarly) this.#earlyCalls.delete(command.stepKey);
    endTurn?.();
    this.#log.write('permitsAnswered', {
      step: command.stepKey,
      asked: workers.length,
      allowed: permits?.length ?? -1,
      through: channel.link?.peer?.process ?? 'self',
      durationMs: Math.round(performance.now() - sentAt),
    });
    if (this.#isStopped) return;
    this.#onAnswer(command, permits);
    this.#sendQueued();
  }

  /** Requests permits through a host; an error counts as no answer, so that the channel is used again. */
  async #requestPermits(
    link: Link | undefined,
    command: AdviceCommand,
    workers: readonly string[],
  ): Promise<readonly PlacementPermit[] | undefined> {
    try {
      return link === undefined
        ? await this.#advisor.requestPermits(command.stepKey, workers)
        : await this.#sendToPeer(link, command, workers);
    } catch (error) {
      this.#log.writeError(`permits for ${command.stepKey}`, error);
      return undefined;
    }
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

const findLeastPending = (channels: readonly AdviceChannel[]): AdviceChannel | undefined =>
  channels.reduce<AdviceChannel | undefined>(
    (best, channel) => (best === undefined || channel.pendingMs < best.pendingMs ? channel : best),
    undefined,
  );
