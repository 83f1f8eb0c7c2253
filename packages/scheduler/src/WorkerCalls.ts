import type { Clock, Effect, Shard, WorkerGateway } from '@toucanline/core';

const pollRetryDelayMs = 500;
/** Delay before a poll is tried again while it is not settled whether this process may act. */
const unsettledRetryDelayMs = 50;

/** What the driver works with. */
interface WorkerDependencies {
  readonly clock: Clock;
  readonly gateway: WorkerGateway;
  readonly shard: Shard;
  /** Whether this process still owns the shard. */
  readonly isActive: () => boolean;
  /** Whether this process may send anything at this moment. */
  readonly canAct: () => boolean;
  /** Called after each answer of a worker was applied to the shard. */
  readonly onResponse: () => void;
}

/** Carries commands and polls of a shard to its workers and their answers back to its decisions. */
export class WorkerCalls {
  readonly #dependencies: WorkerDependencies;
  /** Workers whose held poll was ended to get a report now. */
  readonly #interrupted = new Set<string>();
  #pendingStarts = 0;

  /** @param parts - what the driver works with */
  public constructor(parts: WorkerDependencies) {
    this.#dependencies = parts;
  }

  /** Number of start commands without an answer. */
  public get pendingStarts(): number {
    return this.#pendingStarts;
  }

  /**
   * Sends a start command.
   *
   * @param effect - the command
   */
  public async startTask({ address, start }: Extract<Effect, { effect: 'start' }>): Promise<void> {
    const { gateway, shard, isActive, onResponse: onAnswer } = this.#dependencies;
    this.#pendingStarts += 1;
    const response = await gateway.startTask(address, start);
    this.#pendingStarts -= 1;
    if (!isActive()) return;
    const { request, index, taskId } = start.assignment;
    const outcome = response.isOk() ? undefined : response.error;
    shard.applyStartResponse(request.id, index, taskId, outcome);
    onAnswer();
  }

  /**
   * Sends a command for a running task.
   *
   * @param effect - the command
   */
  public async sendCommand({
    worker,
    address,
    command,
  }: Extract<Effect, { effect: 'command' }>): Promise<void> {
    const { gateway, shard, isActive, onResponse: onAnswer } = this.#dependencies;
    const response = await gateway.sendCommand(address, command);
    if (!isActive() || response.isOk() || !('refusal' in response.error)) return;
    const { refusal } = response.error;
    if (refusal !== 'staleEpoch' && refusal !== 'wrongBoot') return;
    shard.applyRefusal(worker, response.error);
    onAnswer();
  }

  /**
   * Ends the poll that a worker holds, so that it reports now.
   *
   * @param effect - the worker
   */
  public interruptRenewal({ worker, address }: Extract<Effect, { effect: 'interrupt' }>): void {
    this.#interrupted.add(worker);
    this.#dependencies.gateway.interruptRenewal(address);
  }

  /**
   * Polls a worker, one poll at a time, as long as it belongs to the fleet.
   *
   * @param worker - name of the worker
   */
  public async poll(worker: string): Promise<void> {
    const {
      clock,
      gateway,
      shard,
      isActive,
      canAct: mayAct,
      onResponse: onAnswer,
    } = this.#dependencies;
    let hasFailed = false;
    while (isActive()) {
      if (!mayAct()) {
        await clock.sleep(unsettledRetryDelayMs);
        continue;
      }
      const next = shard.createRenewal(worker);
      if (next === undefined) return;
      const sentAt = clock.now();
      this.#interrupted.delete(worker);
      // After a failure the lease is renewed first; a poll that is held again may be lost too late.
      const renewal = hasFailed ? { ...next.renewal, waitMs: 0 } : next.renewal;
      const response = await gateway.renewLease(next.address, renewal);
      if (!isActive()) return;
      hasFailed = response.isErr();
      if (response.isOk()) shard.applyReport(worker, response.value, sentAt);
      else {
        if ('refusal' in response.error) shard.applyRefusal(worker, response.error);
        if (!this.#interrupted.has(worker)) await clock.sleep(pollRetryDelayMs);
      }
      onAnswer();
    }
  }
}
