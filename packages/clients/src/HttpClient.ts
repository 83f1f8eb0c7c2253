import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { Agent } from 'undici';
import { createHttpFailure } from './createHttpFailure.js';
import { HttpExchange } from './HttpExchange.js';
import type { HttpResponse } from './HttpResponse.js';

const maxConnections = 8;
const keepAliveMs = 10_000;
/** Timeout of an attempt to connect, in milliseconds: the longest timeout of a short call. */
const connectTimeoutMs = 1000;

/** Options of a request. */
interface RequestOptions {
  /**
   * Restarts the timeout with each received part of the response, so that a large response over a slow link is not
   * given up while it still arrives.
   */
  readonly isTimeoutPerChunk?: boolean;
  /** Requests the body only if its entity tag differs from this one. */
  readonly entityTag?: string | undefined;
  /** Aborts the request. */
  readonly signal?: AbortSignal | undefined;
  /** Additional request headers. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** HTTP client of one service of the platform, with a timeout for each request. */
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
   * @param timeoutMs - timeout of the request and its response, in milliseconds; with `isTimeoutPerChunk` the longest
   * time without a received byte
   * @param options - options of the request
   * @returns the response; `storeUnavailable` if the request was not processed; `timeout` if that is unknown
   */
  public async send(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    url: string,
    body: unknown,
    timeoutMs: number,
    options: RequestOptions = {},
  ): Promise<Result<HttpResponse, Failure>> {
    const agent = this.#agent;
    const exchange = new HttpExchange(() => {
      if (options.isTimeoutPerChunk === true) timer.refresh();
    });
    const abort = (): void => {
      exchange.abort(new DOMException('no response in time', 'TimeoutError'));
    };
    const timer = setTimeout(abort, timeoutMs);
    options.signal?.addEventListener('abort', abort, { once: true });
    if (options.signal?.aborted === true) abort();
    try {
      this.#dispatch(method, url, body, options, agent, exchange);
      return ok(await exchange.response);
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

  #dispatch(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    url: string,
    body: unknown,
    { entityTag, headers }: RequestOptions,
    agent: Agent,
    exchange: HttpExchange,
  ): void {
    const { origin, pathname, search } = new URL(url);
    agent.dispatch(
      {
        origin,
        path: pathname + search,
        method,
        headers: {
          ...headers,
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
          ...(entityTag === undefined ? {} : { 'if-none-match': entityTag }),
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      },
      exchange,
    );
  }

  /**
   * Replaces the agent after a timeout: the connection that timed out may be dead, so no connection of its agent is
   * used again.
   */
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
