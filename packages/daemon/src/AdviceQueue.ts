import type { Command } from '@toucanline/jobs';
import { hostLimits } from './hostLimits.js';

type AdviceCommand = Extract<Command, { kind: 'advise' }>;

interface QueuedRequest {
  readonly command: AdviceCommand;
  /** Monotonic time at which it was queued, in milliseconds. */
  readonly queuedAt: number;
}

/**
 * Queued requests for permits, by priority. Priorities order work that competes for the same workers, so a service of
 * which no request was sent for long gets a turn before those of other services. Its short and its long calls take turns
 * of their own: short ones that go through the leader's own channel do not show that a long one gets a channel. Early
 * requests come after all others and get no turn, since their permits may expire before a task has room.
 */
export class AdviceQueue {
  #requests: readonly QueuedRequest[] = [];
  /** Keys of the steps that have a turn, the first one first. */
  #turnKeys: readonly string[] = [];
  /** Monotonic time in milliseconds at which the last request was sent, by service and length of the call. */
  readonly #sentAt = new Map<string, number>();

  /** Number of queued requests. */
  public get size(): number {
    return this.#requests.length;
  }

  /** First request by priority; undefined if none is queued. */
  public get first(): AdviceCommand | undefined {
    return this.#requests[0]?.command;
  }

  /**
   * Adds a request. It replaces an early one for the same step.
   *
   * @param command - step and candidate workers
   * @param now - monotonic time in milliseconds
   */
  public add(command: AdviceCommand, now: number): void {
    const others = this.#requests.filter(
      ({ command: each }) => !each.isEarly || each.stepKey !== command.stepKey,
    );
    this.#requests = [...others, { command, queuedAt: now }].sort(
      ({ command: a }, { command: b }) =>
        Number(a.isEarly) - Number(b.isEarly) ||
        a.priority - b.priority ||
        a.expectedMs - b.expectedMs,
    );
  }

  /**
   * Sets the steps whose requests go before others.
   *
   * @param keys - keys of the steps that have a turn, the first one first
   */
  public setTurns(keys: readonly string[]): void {
    this.#turnKeys = keys;
  }

  /**
   * Lists the requests of steps that have a turn.
   *
   * @returns requests in the order of the turns
   */
  public listTurns(): readonly AdviceCommand[] {
    if (this.#turnKeys.length === 0 || this.#requests.length === 0) return [];
    const due = this.#requests.filter(({ command }) => !command.isEarly);
    const byStep = new Map(due.map(({ command }) => [command.stepKey, command]));
    return this.#turnKeys.flatMap((key) => byStep.get(key) ?? []);
  }

  /** Removes all requests. */
  public clear(): void {
    this.#requests = [];
  }

  /**
   * Removes a request that is sent.
   *
   * @param command - request to remove
   * @param now - monotonic time in milliseconds
   */
  public takeSent(command: AdviceCommand, now: number): void {
    this.#requests = this.#requests.filter((each) => each.command !== command);
    this.#sentAt.set(findTurnGroup(command), now);
  }

  /**
   * Lists the requests of services that must get a turn: the first one by priority among the short and among the long
   * calls of each service, if these have waited for the longest time.
   *
   * @param now - monotonic time in milliseconds
   * @returns at most one short and one long call of each service, the one that has waited longest first
   */
  public listOverdue(now: number): readonly AdviceCommand[] {
    const waits = new Map<string, { readonly command: AdviceCommand; readonly since: number }>();
    for (const { command, queuedAt } of this.#requests) {
      if (command.isEarly) continue;
      const group = findTurnGroup(command);
      const known = waits.get(group);
      const since = Math.max(queuedAt, this.#sentAt.get(group) ?? 0);
      if (known === undefined || since < known.since)
        waits.set(group, { command: known?.command ?? command, since });
    }
    return [...waits.values()]
      .filter(({ since }) => now - since >= hostLimits.adviceTurnMs)
      .sort((a, b) => a.since - b.since)
      .map(({ command }) => command);
  }

  /**
   * Lists all requests by priority.
   *
   * @returns requests in the order in which they are sent, without regard to the turns of services
   */
  public list(): readonly AdviceCommand[] {
    return this.#requests.map(({ command }) => command);
  }
}

/** Returns a name for the requests that share a turn: those of one service that may use the same channels. */
const findTurnGroup = ({ service, expectedMs }: AdviceCommand): string =>
  `${expectedMs < hostLimits.shortAdviceCallMs ? 'short' : 'long'} ${service}`;
