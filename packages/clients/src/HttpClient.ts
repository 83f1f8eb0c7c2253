import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import { createHttpFailure } from './createHttpFailure.js';
import type { HttpResponse } from './HttpResponse.js';

const maxConnections = 8;
const keepAliveMs = 10_000;
/** Time after which an attempt to connect is given up, in milliseconds: the longest bound of a short call. */
const connectTimeoutMs = 1000;

/** Further parts of an exchange. */
interface RequestOptions {
  /** Asks for the body only if its entity tag differs. */
  readonly entityTag?: string | undefined;
  /** Ends the exchange early. */
  readonly signal?: AbortSignal | undefined;
  /** Further request headers. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** Bounded HTTP exchanges with one service of the platform. */
export class HttpClient {
  #agent: Agent;
  #isClosed = false;

  public constructor() {
    this.#agent = this.#createAgent();
  }

  /**
   * Sends a request and reads the JSON response.
   *
   * @param method - HTTP method
   * @param url - absolute URL
   * @param body - JSON body, if any
   * @param timeoutMs - bound of the whole exchange, in milliseconds
   * @param options - further parts of the exchange
   * @returns the response; `storeUnavailable` if nothing was processed; `timeout` if that is unknown
   */
  public async send(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    url: string,
    body: unknown,
    timeoutMs: number,
    options: RequestOptions = {},
  ): Promise<Result<HttpResponse, Failure>> {
    const agent = this.#agent;
    const limit = new AbortController();
    const abort = (): void => {
      limit.abort(new DOMException('no response in time', 'TimeoutError'));
    };
    const timer = setTimeout(abort, timeoutMs);
    options.signal?.addEventListener('abort', abort, { once: true });
    if (options.signal?.aborted === true) abort();
    try {
      const response = this.#sendRequest(method, url, body, options, agent, limit.signal);
      return ok(await rejectOnAbort(response, limit.signal));
    } catch (error) {
      const failure = createHttpFailure(url, error);
      if (failure.kind === 'timeout') this.#replaceAgent(agent);
      return err(failure);
    } finally {
      clearTimeout(timer);
      options.signal?.removeEventListener('abort', abort);
    }
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    this.#isClosed = true;
    await this.#agent.destroy();
  }

  async #sendRequest(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    url: string,
    body: unknown,
    { entityTag, headers }: RequestOptions,
    agent: Agent,
    signal: AbortSignal,
  ): Promise<HttpResponse> {
    const response = await request(url, {
      method,
      dispatcher: agent,
      signal,
      headers: {
        ...headers,
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        ...(entityTag === undefined ? {} : { 'if-none-match': entityTag }),
      },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const text = await response.body.text();
    const { etag } = response.headers;
    return {
      status: response.statusCode,
      body: text === '' ? undefined : (JSON.parse(text) as unknown),
      ...(typeof etag === 'string' ? { entityTag: etag } : {}),
    };
  }

  /** A connection that timed out may be silent for good, so none of its agent is used again. */
  #replaceAgent(agent: Agent): void {
    if (this.#isClosed || this.#agent !== agent) return;
    this.#agent = this.#createAgent();
    void agent.close();
  }

  #createAgent(): Agent {
    return new Agent({
      connections: maxConnections,
      connect: { timeout: connectTimeoutMs },
      keepAliveTimeout: keepAliveMs,
      pipelining: 1,
    });
  }
}

/**
 * Waits for a call until its signal is aborted. The client itself ends a request only once it has a connection, which
 * takes seconds to fail behind a partition; the aborted request is not sent any more then.
 */
const rejectOnAbort = <Value>(call: Promise<Value>, signal: AbortSignal): Promise<Value> =>
  new Promise((resolve, reject) => {
    signal.addEventListener(
      'abort',
      () => {
        reject(signal.reason as Error);
      },
      { once: true },
    );
    call.then(resolve, reject);
  });
