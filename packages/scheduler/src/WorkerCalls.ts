import type { Clock, Effect, Shard, WorkerGateway } from '@toucanline/core';

const pollRetryDelayMs = 500;
/** Delay before a poll is retried while it is unsettled whether this process may act. */
const unsettledRetryDelayMs = 50;

/** Dependencies of the worker calls. */
interface WorkerDependencies {
  readonly clock: Clock;
  readonly gateway: WorkerGateway;
  readonly shard: Shard;
  /** Checks whether this process still owns the shard. */
  readonly isActive: () => boolean;
  /** Checks whether this process may send calls at this moment. */
  readonly canAct: () => boolean;
  /** Called after each response of a worker was handled. */
  readonly onResponse: () => void;
}

/** Sends the commands and polls of a shard to its workers, and applies their responses to the shard. */
export class WorkerCalls {
  readonly #dependencies: WorkerDependencies;
  /** Workers whose held poll was interrupted, so that they report at once. */
  readonly #interrupted = new Set<string>();
  #pendingStarts = 0;

  /** @param dependencies - services and callbacks to use */
  public constructor(dependencies: WorkerDependencies) {
    this.#dependencies = dependencies;
  }

  /** Number of start commands without a response. */
  public get pendingStarts(): number {
    return this.#pendingStarts;
  }

  /**
   * Sends a start command.
   *
   * @param effect - start effect with the address of the worker
   */
  public async startTask({ address, start }: Extract<Effect, { effect: 'start' }>): Promise<void> {
    const { gateway, shard, isActive, onResponse } = this.#dependencies;
    this.#pendingStarts += 1;
    const response = await gateway.startTask(address, start);
    this.#pendingStarts -= 1;
    if (!isActive()) return;
    const { request, index, taskId } = start.assignment;
    const outcome = response.isOk() ? undefined : response.error;
    shard.applyStartResponse(request.id, index, taskId, outcome);
    onResponse();
  }

  /**
   * Sends a command for a running task.
   *
   * @param effect - command effect with the worker and its address
   */
  public async sendCommand({
    worker,
    address,
    command,
  }: Extract<Effect, { effect: 'command' }>): Promise<void> {
    const { gateway, shard, isActive, onResponse } = this.#dependencies;
    const response = await gateway.sendCommand(address, command);
    if (!isActive() || response.isOk() || !('refusal' in response.error)) return;
    const { refusal } = response.error;
    if (refusal !== 'staleEpoch' && refusal !== 'wrongBoot') return;
    shard.applyRefusal(worker, response.error);
    onResponse();
  }

  /**
   * Interrupts the poll that a worker holds, so that the worker reports at once.
   *
   * @param effect - interrupt effect with the worker and its address
   */
  public interruptRenewal({ worker, address }: Extract<Effect, { effect: 'interrupt' }>): void {
    this.#interrupted.add(worker);
    this.#dependencies.gateway.interruptRenewal(address);
  }

  /**
   * Polls a worker, one poll at a time, until it leaves the fleet or the ownership ends.
   *
   * @param worker - name of the worker
   */
  public async poll(worker: string): Promise<void> {
    const { clock, gateway, shard, isActive, canAct: mayAct, onResponse } = this.#dependencies;
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
      // After a failure the next poll is not held, so that it renews the lease at once: if a held poll were lost
      // again, that might be noticed too late.
      const renewal = hasFailed ? { ...next.renewal, waitMs: 0 } : next.renewal;
      const response = await gateway.renewLease(next.address, renewal);
      if (!isActive()) return;
      hasFailed = response.isErr();
      if (response.isOk()) shard.applyReport(worker, response.value, sentAt);
      else {
        if ('refusal' in response.error) shard.applyRefusal(worker, response.error);
        if (!this.#interrupted.has(worker)) await clock.sleep(pollRetryDelayMs);
      }
      onResponse();
    }
  }
}
