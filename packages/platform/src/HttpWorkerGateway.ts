import { createFailure, periods, validateValue, WorkerGateway } from '@toucanline/core';
import type { WorkerResponse } from '@toucanline/core';
import {
  validators,
  type Failure,
  type Renewal,
  type Report,
  type TaskCommand,
  type TaskStart,
} from '@toucanline/schema';
import { err, ok } from 'neverthrow';
import { HttpExchange } from './HttpExchange.js';
import type { HttpResponse } from './HttpResponse.js';

/**
 * Workers over HTTP. Each worker has its own exchange, so that a silent connection to one worker costs
 * no connection to another.
 */
export class HttpWorkerGateway extends WorkerGateway {
  public override readonly fences = true;
  readonly #exchanges = new Map<string, HttpExchange>();

  /** {@inheritDoc WorkerGateway.start} */
  public override async start(address: string, start: TaskStart): Promise<WorkerResponse<void>> {
    return (await this.#post(address, 'tasks', start, periods.startWindowMs)).map(() => undefined);
  }

  /** {@inheritDoc WorkerGateway.command} */
  public override async command(
    address: string,
    command: TaskCommand,
  ): Promise<WorkerResponse<void>> {
    const response = await this.#post(address, 'commands', command, periods.startWindowMs);
    return response.map(() => undefined);
  }

  /** {@inheritDoc WorkerGateway.renew} */
  public override async renew(address: string, renewal: Renewal): Promise<WorkerResponse<Report>> {
    const response = await this.#post(address, 'renewals', renewal, periods.workerTimeoutMs);
    if (response.isErr()) return err(response.error);
    const report = validateValue(validators.Report, response.value.body, 'internal');
    if (report.isErr()) return err<Report, Failure>(report.error);
    return ok(report.value);
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await Promise.all([...this.#exchanges.values()].map((exchange) => exchange.close()));
  }

  async #post(
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<WorkerResponse<HttpResponse>> {
    const exchange = this.#exchanges.get(address) ?? new HttpExchange();
    this.#exchanges.set(address, exchange);
    const response = await exchange.send('POST', `http://${address}/v1/${path}`, body, timeoutMs);
    if (response.isErr()) return err(response.error);
    const { status, body: content } = response.value;
    if (status === 200) return ok(response.value);
    const refusal = validateValue(validators.WorkerRefusal, content, 'internal');
    if (refusal.isOk()) return err(refusal.value);
    return err(createFailure('internal', `worker answered ${status}`));
  }
}
