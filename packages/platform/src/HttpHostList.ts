import { createFailure, HostList, validateValue } from '@toucanline/core';
import { validators, type Failure, type HostRecord } from '@toucanline/schema';
import { err, type Result } from 'neverthrow';
import { HttpExchange } from './HttpExchange.js';

/** Host list over HTTP. */
export class HttpHostList extends HostList {
  readonly #exchange = new HttpExchange();
  readonly #url: string;
  readonly #timeoutMs: number;

  /**
   * @param url - base URL of the host list
   * @param timeoutMs - bound of one call, in milliseconds
   */
  public constructor(url: string, timeoutMs: number) {
    super();
    this.#url = url;
    this.#timeoutMs = timeoutMs;
  }

  /** {@inheritDoc HostList.read} */
  public override async read(): Promise<Result<readonly HostRecord[], Failure>> {
    const url = `${this.#url}/v1/hosts`;
    const response = await this.#exchange.send('GET', url, undefined, this.#timeoutMs);
    if (response.isErr()) return err(response.error);
    if (response.value.status !== 200) {
      return err(createFailure('storeUnavailable', `host list answered ${response.value.status}`));
    }
    return validateValue(validators.HostRecords, response.value.body, 'internal').map(
      ({ hosts }) => hosts,
    );
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await this.#exchange.close();
  }
}
