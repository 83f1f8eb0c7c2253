import type { IncomingHttpHeaders } from 'node:http';
import type { Problem, RequestSpecification, RequestView } from '@toucanline/schema';
import { Agent, request, type Dispatcher } from 'undici';

/** HTTP response to a caller. */
interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Body, if it is the state of a request. */
  readonly view: RequestView;
  /** Body, if it is a problem. */
  readonly problem: Problem;
}

/** Limits of the connections of a caller. */
interface ConnectionOptions {
  /** Maximum number of connections to one entry; unlimited by default. */
  readonly connections?: number;
  /** Maximum number of requests in flight on one connection. */
  readonly pipelining?: number;
}

/** A client of the HTTP interface of an entry. */
export class Caller {
  readonly #readUrl: () => string;
  readonly #key: string | undefined;
  readonly #dispatcher: Agent;

  /**
   * @param readUrl - returns the base URL of the entry to use
   * @param key - key to present, if any
   * @param options - limits of its connections
   */
  public constructor(readUrl: () => string, key?: string, options: ConnectionOptions = {}) {
    this.#readUrl = readUrl;
    this.#key = key;
    this.#dispatcher = new Agent(options);
  }

  /**
   * Submits a request.
   *
   * @param queue - name of the queue
   * @param specification - the request
   * @param options - idempotency key, and longest wait in seconds
   * @returns the answer
   */
  public submit(
    queue: string,
    specification: RequestSpecification,
    options: { readonly idempotencyKey?: string; readonly wait?: number } = {},
  ): Promise<CallerAnswer> {
    const { idempotencyKey, wait } = options;
    const query = wait === undefined ? '' : `?wait=${wait}`;
    return this.send(
      'POST',
      `/v1/queues/${queue}/requests${query}`,
      JSON.stringify(specification),
      {
        ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
      },
    );
  }

  /**
   * Waits for the completion of a request.
   *
   * @param id - identifier of the request
   * @param wait - longest wait in seconds
   * @returns the answer
   */
  public wait(id: string, wait: number): Promise<CallerAnswer> {
    return this.send('GET', `/v1/requests/${id}?wait=${wait}`);
  }

  /**
   * Cancels a request.
   *
   * @param id - identifier of the request
   * @returns the answer
   */
  public cancel(id: string): Promise<CallerAnswer> {
    return this.send('DELETE', `/v1/requests/${id}`);
  }

  /**
   * Sends an HTTP request.
   *
   * @param method - HTTP method
   * @param path - path with query
   * @param body - text of the body
   * @param headers - further headers
   * @returns the answer
   */
  public async send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<CallerAnswer> {
    const response = await request(this.#readUrl() + path, {
      method,
      dispatcher: this.#dispatcher,
      // Allows pipelining of all requests, also of POST: the entry responds in order.
      idempotent: true,
      headers: {
        ...(this.#key === undefined ? {} : { authorization: `Bearer ${this.#key}` }),
        ...headers,
      },
      ...(body === undefined ? {} : { body }),
    });
    const content = (await response.body.json()) as RequestView & Problem;
    return {
      status: response.statusCode,
      headers: response.headers,
      view: content,
      problem: content,
    };
  }
}
