import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import { createHttpFailure } from './createHttpFailure.js';
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
    const controller = new AbortController();
    const abort = (): void => {
      controller.abort(new DOMException('no response in time', 'TimeoutError'));
    };
    const timer = setTimeout(abort, timeoutMs);
    options.signal?.addEventListener('abort', abort, { once: true });
    if (options.signal?.aborted === true) abort();
    try {
      const pendingResponse = this.#sendRequest(
        method,
        url,
        body,
        options,
        agent,
        controller.signal,
        () => {
          if (options.isTimeoutPerChunk === true) timer.refresh();
        },
      );
      return ok(await rejectOnAbort(pendingResponse, controller.signal));
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
    onChunk: () => void,
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
    const chunks: Buffer[] = [];
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      onChunk();
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString('utf8');
    const { etag } = response.headers;
    return {
      status: response.statusCode,
      body: text === '' ? undefined : (JSON.parse(text) as unknown),
      ...(typeof etag === 'string' ? { entityTag: etag } : {}),
    };
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

/**
 * Waits for a call until its signal is aborted. `undici` aborts a request only once it has a connection, and behind a
 * network partition the attempt to connect takes seconds to fail; the aborted request is not sent after that.
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
