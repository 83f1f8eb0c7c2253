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

/** Latest description of a worker and the boot that it belongs to. */
interface CachedDescription {
  readonly bootId: string;
  readonly description: WorkerDescription;
}

/**
 * Worker gateway over HTTP. Each worker has its own client, so that a dead connection to one worker does not close a
 * connection to another. Consecutive renewals that a worker answers only after a change or a wait (long polls) share one streamed HTTP request, because headers are
 * more than half of the bytes of a separate request for each renewal.
 */
export class HttpWorkerGateway extends WorkerGateway {
  public override readonly hasFencing = true;
  readonly #clients = new Map<string, HttpClient>();
  readonly #descriptions = new Map<string, CachedDescription>();
  /** Streams without a pending renewal, by address of the worker. */
  readonly #idleStreams = new Map<string, RenewalStream>();
  /** Functions that abort the pending renewals, by address of the worker. */
  readonly #interrupts = new Map<string, () => void>();

  /** {@inheritDoc WorkerGateway.startTask} */
  public override async startTask(
    address: string,
    start: TaskStart,
  ): Promise<WorkerResponse<void>> {
    return (await this.#post(address, 'tasks', start, periods.startWindowMs)).map(() => undefined);
  }

  /** {@inheritDoc WorkerGateway.sendCommand} */
  public override async sendCommand(
    address: string,
    command: TaskCommand,
  ): Promise<WorkerResponse<void>> {
    const response = await this.#post(address, 'commands', command, periods.startWindowMs);
    return response.map(() => undefined);
  }

  /** {@inheritDoc WorkerGateway.renewLease} */
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
    if (renewal.full)
      return err(createFailure('internal', `the worker at ${address} sent no description`));
    return this.renewLease(address, { ...renewal, full: true, waitMs: 0 });
  }

  /** {@inheritDoc WorkerGateway.interruptRenewal} */
  public override interruptRenewal(address: string): void {
    this.#interrupts.get(address)?.();
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    for (const interrupt of this.#interrupts.values()) interrupt();
    for (const stream of this.#idleStreams.values()) stream.close();
    await Promise.all([...this.#clients.values()].map((client) => client.close()));
  }

  /** Sends a renewal that the worker answers without waiting. */
  async #sendRenewal(address: string, renewal: Renewal): Promise<WorkerResponse<unknown>> {
    const controller = new AbortController();
    const interrupt = (): void => {
      controller.abort();
    };
    this.#interrupts.set(address, interrupt);
    const { workerTimeoutMs } = periods;
    const response = await this.#post(
      address,
      'renewals',
      renewal,
      workerTimeoutMs,
      controller.signal,
    );
    if (this.#interrupts.get(address) === interrupt) this.#interrupts.delete(address);
    return response.map(({ body }) => body);
  }

  /** Sends a renewal that the worker may answer late (a long poll), on the stream of the previous renewal if possible. */
  async #sendHeldRenewal(address: string, renewal: Renewal): Promise<WorkerResponse<unknown>> {
    const previous = this.#idleStreams.get(address);
    this.#idleStreams.delete(address);
    const stream =
      previous?.canCarry(renewal) === true
        ? previous
        : new RenewalStream(`http://${address}`, (closed) => {
            if (this.#idleStreams.get(address) === closed) this.#idleStreams.delete(address);
          });
    if (stream !== previous) previous?.close();
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
    // Nearly all responses are answers, so the validator of refusals is called directly and formats no reason for a mismatch.
    if (!validators.WorkerRefusal(value)) return ok(value);
    stream.close();
    return err(value);
  }

  /**
   * Completes an answer with the fields that the worker omitted; returns undefined if the worker has sent no
   * description since its boot.
   */
  #completeReport(address: string, renewal: Renewal, answer: WorkerAnswer): Report | undefined {
    const { description: received, ...rest } = answer;
    const { authority, leaseUntil, full } = renewal;
    const { epoch, owner } = authority;
    const bootId = answer.bootId ?? authority.bootId;
    const cached = this.#descriptions.get(address);
    const description = received ?? (cached?.bootId === bootId ? cached.description : undefined);
    if (description === undefined) return undefined;
    if (received !== undefined) this.#descriptions.set(address, { bootId, description: received });
    const defaults = { bootId, epoch, owner, leaseUntil, state: 'live' } as const;
    return { ...defaults, full, tasks: [], changes: [], ...description, ...rest };
  }

  async #post(
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<WorkerResponse<HttpResponse>> {
    const client = this.#clients.get(address) ?? new HttpClient();
    this.#clients.set(address, client);
    const url = `http://${address}/v1/${path}`;
    const response = await client.send('POST', url, body, timeoutMs, { signal });
    if (response.isErr()) return err(response.error);
    const { status, body: content } = response.value;
    if (status === 200) return ok(response.value);
    const refusal = validateValue(validators.WorkerRefusal, content, 'internal');
    if (refusal.isOk()) return err(refusal.value);
    return err(createFailure('internal', `the worker responded with status ${status}`));
  }
}
