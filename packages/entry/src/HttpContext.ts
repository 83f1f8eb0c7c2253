import type { IncomingMessage, ServerResponse } from 'node:http';
import { createFailure } from '@toucanline/core';
import type { Failure, Problem, RequestView } from '@toucanline/schema';
import { createProblem } from './createProblem.js';

/** States of a request that are sent as a failure. */
const failureStates: ReadonlySet<RequestView['state']> = new Set(['refused', 'unknown']);

/** HTTP request of a caller and its response. */
export class HttpContext {
  public readonly request: IncomingMessage & {
    readonly params: Readonly<Record<string, string>>;
    readonly query: Readonly<Record<string, string | readonly string[]>>;
  };
  readonly #response: ServerResponse;
  readonly #isDraining: () => boolean;

  /**
   * @param request - the request with its route parameters
   * @param response - the response
   * @param isDraining - returns whether the process is shutting down, so that connections are closed
   */
  public constructor(
    request: HttpContext['request'],
    response: ServerResponse,
    isDraining: () => boolean,
  ) {
    this.request = request;
    this.#response = response;
    this.#isDraining = isDraining;
  }

  /**
   * Sends a JSON body.
   *
   * @param status - HTTP status
   * @param body - the body
   * @param headers - further headers
   */
  public sendJson(
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    const text = JSON.stringify(body);
    this.#response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...(this.#isDraining() ? { connection: 'close' } : {}),
      ...headers,
    });
    this.#response.end(text);
  }

  /**
   * Sends a failure as a problem document.
   *
   * @param failure - the failure
   * @param requestId - identifier of the request that failed, if known
   * @param extra - further fields of the problem document
   */
  public sendFailure(
    failure: Failure,
    requestId?: string,
    extra: Pick<Problem, 'invalid' | 'current'> = {},
  ): void {
    const problem = { ...createProblem(failure, requestId), ...extra };
    const { retryAfterSeconds } = failure;
    this.sendJson(problem.status, problem, {
      'content-type': 'application/problem+json',
      ...(retryAfterSeconds === undefined
        ? {}
        : { 'retry-after': String(Math.ceil(retryAfterSeconds)) }),
    });
  }

  /**
   * Sends the view of a request: with status 200 once it is answered, 202 while it continues.
   *
   * @param view - the view
   * @param isAnswer - whether the view is the answer, so that the caller need not poll again
   */
  public sendView(view: RequestView, isAnswer: boolean): void {
    if (failureStates.has(view.state)) {
      const fallback = createFailure('outcomeUnknown', 'it is not known whether the request ran');
      this.sendFailure(view.failure ?? fallback, view.id);
      return;
    }
    const headers = { location: `/v1/requests/${view.id}` };
    this.sendJson(isAnswer ? 200 : 202, view, headers);
  }
}
