import type { Clock, Effect, Shard, WorkerGateway } from '@toucanline/core';

const retryMs = 500;
/** Delay before a poll is tried again while it is not settled whether this process may act. */
const settleMs = 50;

/** What the driver works with. */
interface DriverParts {
  readonly clock: Clock;
  readonly gateway: WorkerGateway;
  readonly shard: Shard;
  /** Whether this process still owns the shard. */
  readonly isActive: () => boolean;
  /** Whether this process may send anything at this moment. */
  readonly mayAct: () => boolean;
  /** Called after each answer of a worker was applied to the shard. */
  readonly onAnswer: () => void;
}

/** Carries commands and polls of a shard to its workers and their answers back to its decisions. */
export class WorkerDriver {
  readonly #parts: DriverParts;
  /** Workers whose held poll was ended to get a report now. */
  readonly #interrupted = new Set<string>();
  #starting = 0;

  /** @param parts - what the driver works with */
  public constructor(parts: DriverParts) {
    this.#parts = parts;
  }

  /** Number of start commands without an answer. */
  public get starting(): number {
    return this.#starting;
  }

  /**
   * Sends a start command.
   *
   * @param effect - the command
   */
  public async start({ address, start }: Extract<Effect, { effect: 'start' }>): Promise<void> {
    const { gateway, shard, isActive, onAnswer } = this.#parts;
    this.#starting += 1;
    const response = await gateway.startTask(address, start);
    this.#starting -= 1;
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
  public async command({
    worker,
    address,
    command,
  }: Extract<Effect, { effect: 'command' }>): Promise<void> {
    const { gateway, shard, isActive, onAnswer } = this.#parts;
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
  public interrupt({ worker, address }: Extract<Effect, { effect: 'interrupt' }>): void {
    this.#interrupted.add(worker);
    this.#parts.gateway.interruptRenewal(address);
  }

  /**
   * Polls a worker, one poll at a time, as long as it belongs to the fleet.
   *
   * @param worker - name of the worker
   */
  public async poll(worker: string): Promise<void> {
    const { clock, gateway, shard, isActive, mayAct, onAnswer } = this.#parts;
    let hasFailed = false;
    while (isActive()) {
      if (!mayAct()) {
        await clock.sleep(settleMs);
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
        if (!this.#interrupted.has(worker)) await clock.sleep(retryMs);
      }
      onAnswer();
    }
  }
}
