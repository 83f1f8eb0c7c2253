import { createFailure, Store, validateValue } from '@toucanline/core';
import { validators, type Failure, type StoreLease, type StoreValue } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { HttpClient } from './HttpClient.js';
import type { HttpResponse } from './HttpResponse.js';

/** Maximum number of cached responses that are revalidated by their entity tag; a process reads few keys repeatedly. */
const maxCachedResponses = 32;
/** Maximum length of a cached list, in characters: journals are long and rarely read. */
const maxCachedListLength = 65_536;

/**
 * Store over HTTP. Reads, and grants and renewals of leases, fail with `storeUnavailable` if no response arrives, because
 * the caller may repeat them. A write or a revocation without a response fails with `timeout`.
 */
export class HttpStore extends Store {
  readonly #client = new HttpClient();
  readonly #url: string;
  readonly #timeoutMs: number;
  /** Latest responses with an entity tag, by key or by path of a list, least recently read first. */
  readonly #cache = new Map<string, HttpResponse>();

  /**
   * @param url - base URL of the store
   * @param timeoutMs - timeout of one call, in milliseconds
   */
  public constructor(url: string, timeoutMs: number) {
    super();
    this.#url = url;
    this.#timeoutMs = timeoutMs;
  }

  /** {@inheritDoc Store.read} */
  public override async read(key: string): Promise<Result<StoreValue, Failure>> {
    const path = `/v1/values/${encodeURIComponent(key)}`;
    const response = await this.#getCached(key, path, this.#timeoutMs);
    return response.andThen(({ body }) => validateValue(validators.StoreValue, body, 'internal'));
  }

  /** {@inheritDoc Store.list} */
  public override async list(prefix: string): Promise<Result<readonly StoreValue[], Failure>> {
    const path = `/v1/values?prefix=${encodeURIComponent(prefix)}`;
    const response = await this.#getCached(path, path, this.#timeoutMs);
    return response
      .andThen(({ body }) => validateValue(validators.StoreValues, body, 'internal'))
      .map(({ values }) => {
        const length = values.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
        if (length > maxCachedListLength) this.#cache.delete(path);
        return values;
      });
  }

  /** {@inheritDoc Store.write} */
  public override async write(
    key: string,
    value: string | undefined,
    ifVersion: number,
    lease?: string,
  ): Promise<Result<number, Failure>> {
    const url = `${this.#url}/v1/values/${encodeURIComponent(key)}`;
    const body = {
      ifVersion,
      ...(value === undefined ? {} : { value }),
      ...(lease === undefined ? {} : { lease }),
    };
    const response = await this.#client.send('PUT', url, body, this.#timeoutMs);
    if (response.isErr()) return err(response.error);
    if (response.value.status === 409) {
      return err(createFailure('storeConflict', `${key} changed since version ${ifVersion}`));
    }
    return this.#checkStatus(response.value)
      .andThen(({ body: written }) => validateValue(validators.StoreValue, written, 'internal'))
      .map(({ version }) => version);
  }

  /** {@inheritDoc Store.grantLease} */
  public override async grantLease(ttlMs: number): Promise<Result<StoreLease, Failure>> {
    return this.#postLease(`${this.#url}/v1/leases`, { ttlMs });
  }

  /** {@inheritDoc Store.renewLease} */
  public override async renewLease(lease: string): Promise<Result<StoreLease, Failure>> {
    return this.#postLease(`${this.#url}/v1/leases/${encodeURIComponent(lease)}/renew`, {});
  }

  /** {@inheritDoc Store.revokeLease} */
  public override async revokeLease(lease: string): Promise<Result<void, Failure>> {
    const url = `${this.#url}/v1/leases/${encodeURIComponent(lease)}`;
    const response = await this.#client.send('DELETE', url, undefined, this.#timeoutMs);
    return response.andThen((received) => this.#checkStatus(received)).map(() => undefined);
  }

  /** {@inheritDoc Store.watch} */
  public override async watch(
    key: string,
    afterVersion: number,
    waitMs: number,
  ): Promise<Result<StoreValue, Failure>> {
    const path = `/v1/watch/${encodeURIComponent(key)}?after=${afterVersion}&waitMs=${waitMs}`;
    const response = await this.#getCached(key, path, waitMs + this.#timeoutMs);
    return response.andThen(({ body }) => validateValue(validators.StoreValue, body, 'internal'));
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await this.#client.close();
  }

  /** Gets a value or a list, whose body is transferred only if it has changed since it was cached. */
  async #getCached(
    cacheKey: string,
    path: string,
    timeoutMs: number,
  ): Promise<Result<HttpResponse, Failure>> {
    const cached = this.#cache.get(cacheKey);
    const response = await this.#get(path, timeoutMs, cached?.entityTag);
    if (response.isErr()) return response;
    const current = response.value.status === 304 ? cached : response.value;
    if (current === undefined)
      return err(
        createFailure(
          'storeUnavailable',
          'the store responded with status 304 to a read that was not cached',
        ),
      );
    this.#cache.delete(cacheKey);
    if (current.entityTag !== undefined) this.#cache.set(cacheKey, current);
    const [oldest] = this.#cache.keys();
    if (this.#cache.size > maxCachedResponses && oldest !== undefined) this.#cache.delete(oldest);
    return ok(current);
  }

  async #get(
    path: string,
    timeoutMs: number,
    entityTag?: string,
  ): Promise<Result<HttpResponse, Failure>> {
    const url = this.#url + path;
    const response = await this.#client.send('GET', url, undefined, timeoutMs, { entityTag });
    return response
      .mapErr(({ detail }) => createFailure('storeUnavailable', detail))
      .andThen((received) => this.#checkStatus(received));
  }

  async #postLease(url: string, body: unknown): Promise<Result<StoreLease, Failure>> {
    const response = await this.#client.send('POST', url, body, this.#timeoutMs);
    if (response.isErr()) return err(createFailure('storeUnavailable', response.error.detail));
    if (response.value.status === 404) {
      return err(createFailure('staleRevision', 'the lease has expired or was revoked'));
    }
    return this.#checkStatus(response.value).andThen(({ body: lease }) =>
      validateValue(validators.StoreLease, lease, 'internal'),
    );
  }

  #checkStatus(response: HttpResponse): Result<HttpResponse, Failure> {
    if (response.status === 200 || response.status === 304) return ok(response);
    return err(
      createFailure('storeUnavailable', `the store responded with status ${response.status}`),
    );
  }
}
