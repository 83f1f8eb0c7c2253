import { createFailure, HostList, validateValue } from '@toucanline/core';
import { validators, type Failure, type HostRecord } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { HttpClient } from './HttpClient.js';

/**
 * Host list over HTTP. The list is transferred only if it has changed: with 1,300 workers, a full read each second
 * would cost each daemon about 130 KB/s.
 */
export class HttpHostList extends HostList {
  readonly #client = new HttpClient();
  readonly #url: string;
  readonly #timeoutMs: number;
  #cached: { readonly entityTag: string; readonly hosts: readonly HostRecord[] } | undefined;

  /**
   * @param url - base URL of the host list
   * @param timeoutMs - timeout of one call, in milliseconds
   */
  public constructor(url: string, timeoutMs: number) {
    super();
    this.#url = url;
    this.#timeoutMs = timeoutMs;
  }

  /** {@inheritDoc HostList.read} */
  public override async read(): Promise<Result<readonly HostRecord[], Failure>> {
    const url = `${this.#url}/v1/hosts`;
    const cached = this.#cached;
    const response = await this.#client.send('GET', url, undefined, this.#timeoutMs, {
      entityTag: cached?.entityTag,
    });
    if (response.isErr()) return err(response.error);
    if (response.value.status === 304 && cached !== undefined) return ok(cached.hosts);
    if (response.value.status !== 200) {
      return err(
        createFailure(
          'storeUnavailable',
          `the host list responded with status ${response.value.status}`,
        ),
      );
    }
    const { entityTag, body } = response.value;
    return validateValue(validators.HostRecords, body, 'internal').map(({ hosts }) => {
      this.#cached = entityTag === undefined ? undefined : { entityTag, hosts };
      return hosts;
    });
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await this.#client.close();
  }
}
