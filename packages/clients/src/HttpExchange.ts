import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import { createHttpFailure } from './createHttpFailure.js';
import type { HttpResponse } from './HttpResponse.js';

const maxConnections = 8;
const keepAliveMs = 10_000;

/** Further parts of an exchange. */
interface ExchangeOptions {
  /** Asks for the body only if its entity tag differs. */
  readonly entityTag?: string | undefined;
  /** Ends the exchange early. */
  readonly interrupt?: AbortSignal | undefined;
  /** Further request headers. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** Bounded HTTP exchanges with one service of the platform. */
export class HttpExchange {
  #agent: Agent;
  #closed = false;

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
    options: ExchangeOptions = {},
  ): Promise<Result<HttpResponse, Failure>> {
    const agent = this.#agent;
    const { entityTag, interrupt } = options;
    try {
      const response = await request(url, {
        method,
        dispatcher: agent,
        signal:
          interrupt === undefined
            ? AbortSignal.timeout(timeoutMs)
            : AbortSignal.any([AbortSignal.timeout(timeoutMs), interrupt]),
        headers: {
          ...options.headers,
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
          ...(entityTag === undefined ? {} : { 'if-none-match': entityTag }),
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      const text = await response.body.text();
      const { etag } = response.headers;
      return ok({
        status: response.statusCode,
        body: text === '' ? undefined : (JSON.parse(text) as unknown),
        ...(typeof etag === 'string' ? { entityTag: etag } : {}),
      });
    } catch (error) {
      const failure = createHttpFailure(url, error);
      if (failure.kind === 'timeout') this.#replaceAgent(agent);
      return err(failure);
    }
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    this.#closed = true;
    await this.#agent.destroy();
  }

  /** A connection that timed out may be silent for good, so none of its agent is used again. */
  #replaceAgent(agent: Agent): void {
    if (this.#closed || this.#agent !== agent) return;
    this.#agent = this.#createAgent();
    void agent.close();
  }

  #createAgent(): Agent {
    return new Agent({ connections: maxConnections, keepAliveTimeout: keepAliveMs, pipelining: 1 });
  }
}
