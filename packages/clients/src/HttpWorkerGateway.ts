import { createFailure, periods, validateValue, WorkerGateway } from '@toucanline/core';
import type { WorkerResponse } from '@toucanline/core';
import {
  validators,
  type Failure,
  type Renewal,
  type Report,
  type TaskCommand,
  type TaskStart,
  type WorkerAnswer,
  type WorkerDescription,
} from '@toucanline/schema';
import { err, ok } from 'neverthrow';
import { HttpClient } from './HttpClient.js';
import type { HttpResponse } from './HttpResponse.js';
import { RenewalStream } from './RenewalStream.js';

/** The last description of a worker, with the boot that it belongs to. */
interface CachedDescription {
  readonly bootId: string;
  readonly description: WorkerDescription;
}

/**
 * Workers over HTTP. Each worker has its own exchange, so that a silent connection to one worker costs
 * no connection to another. Renewals that a worker holds share one streamed exchange, because headers made
 * up more than half of the bytes of a poll.
 */
export class HttpWorkerGateway extends WorkerGateway {
  public override readonly hasFencing = true;
  readonly #clients = new Map<string, HttpClient>();
  readonly #descriptions = new Map<string, CachedDescription>();
  /** Streams without a renewal at the moment, by address. */
  readonly #idleStreams = new Map<string, RenewalStream>();
  /** End the renewals without an answer, by address. */
  readonly #interrupts = new Map<string, () => void>();

  /** {@inheritDoc WorkerGateway.start} */
  public override async startTask(
    address: string,
    start: TaskStart,
  ): Promise<WorkerResponse<void>> {
    return (await this.#post(address, 'tasks', start, periods.startWindowMs)).map(() => undefined);
  }

  /** {@inheritDoc WorkerGateway.command} */
  public override async sendCommand(
    address: string,
    command: TaskCommand,
  ): Promise<WorkerResponse<void>> {
    const response = await this.#post(address, 'commands', command, periods.startWindowMs);
    return response.map(() => undefined);
  }

  /** {@inheritDoc WorkerGateway.renew} */
  public override async renewLease(
    address: string,
    renewal: Renewal,
  ): Promise<WorkerResponse<Report>> {
    const response =
      renewal.waitMs > 0
        ? await this.#sendHeldRenewal(address, renewal)
        : await this.#sendRenewal(address, renewal);
    if (response.isErr()) return err(response.error);
    const answer = validateValue(validators.WorkerAnswer, response.value, 'internal');
    if (answer.isErr()) return err<Report, Failure>(answer.error);
    const report = this.#completeReport(address, renewal, answer.value);
    if (report !== undefined) return ok(report);
    if (renewal.full) return err(createFailure('internal', `${address} does not describe itself`));
    return this.renewLease(address, { ...renewal, full: true, waitMs: 0 });
  }

  /** {@inheritDoc WorkerGateway.interrupt} */
  public override interruptRenewal(address: string): void {
    this.#interrupts.get(address)?.();
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    for (const interrupt of this.#interrupts.values()) interrupt();
    for (const stream of this.#idleStreams.values()) stream.close();
    await Promise.all([...this.#clients.values()].map((exchange) => exchange.close()));
  }

  /** Sends a renewal that the worker answers at once. */
  async #sendRenewal(address: string, renewal: Renewal): Promise<WorkerResponse<unknown>> {
    const abort = new AbortController();
    const interrupt = (): void => {
      abort.abort();
    };
    this.#interrupts.set(address, interrupt);
    const { workerTimeoutMs } = periods;
    const response = await this.#post(address, 'renewals', renewal, workerTimeoutMs, abort.signal);
    if (this.#interrupts.get(address) === interrupt) this.#interrupts.delete(address);
    return response.map(({ body }) => body);
  }

  /** Sends a renewal that the worker holds, on the stream of the one before if that is possible. */
  async #sendHeldRenewal(address: string, renewal: Renewal): Promise<WorkerResponse<unknown>> {
    const former = this.#idleStreams.get(address);
    this.#idleStreams.delete(address);
    const stream =
      former?.canCarry(renewal) === true
        ? former
        : new RenewalStream(`http://${address}`, (closed) => {
            if (this.#idleStreams.get(address) === closed) this.#idleStreams.delete(address);
          });
    if (stream !== former) former?.close();
    const interrupt = (): void => {
      stream.close();
    };
    this.#interrupts.set(address, interrupt);
    const timeoutMs = Math.max(periods.workerTimeoutMs, renewal.waitMs + periods.workerResponseMs);
    const response = await stream.send(renewal, timeoutMs);
    if (this.#interrupts.get(address) === interrupt) this.#interrupts.delete(address);
    if (!stream.isClosed) {
      this.#idleStreams.get(address)?.close();
      this.#idleStreams.set(address, stream);
    }
    if (response.isErr()) return err(response.error);
    const { value } = response;
    // Nearly every line is an answer, so no reason is composed why it is no refusal.
    if (!validators.WorkerRefusal(value)) return ok(value);
    stream.close();
    return err(value);
  }

  /** Adds what the worker left out; undefined if it never described itself since its boot. */
  #completeReport(address: string, renewal: Renewal, answer: WorkerAnswer): Report | undefined {
    const { description: told, ...rest } = answer;
    const { authority, leaseUntil, full } = renewal;
    const { epoch, owner } = authority;
    const bootId = answer.bootId ?? authority.bootId;
    const known = this.#descriptions.get(address);
    const description = told ?? (known?.bootId === bootId ? known.description : undefined);
    if (description === undefined) return undefined;
    if (told !== undefined) this.#descriptions.set(address, { bootId, description: told });
    const same = { bootId, epoch, owner, leaseUntil, state: 'live' } as const;
    return { ...same, full, tasks: [], changes: [], ...description, ...rest };
  }

  async #post(
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    interrupt?: AbortSignal,
  ): Promise<WorkerResponse<HttpResponse>> {
    const exchange = this.#clients.get(address) ?? new HttpClient();
    this.#clients.set(address, exchange);
    const url = `http://${address}/v1/${path}`;
    const response = await exchange.send('POST', url, body, timeoutMs, { signal: interrupt });
    if (response.isErr()) return err(response.error);
    const { status, body: content } = response.value;
    if (status === 200) return ok(response.value);
    const refusal = validateValue(validators.WorkerRefusal, content, 'internal');
    if (refusal.isOk()) return err(refusal.value);
    return err(createFailure('internal', `worker answered ${status}`));
  }
}
