import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { HttpResponse } from './HttpResponse.js';

/**
 * One request and its response. It receives the events of the connection directly, without a stream and an abort signal
 * for each request: a leader sends over a thousand commands a second.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  /** Resolves with the complete response; rejects if the exchange fails or is aborted. */
  public readonly response: Promise<HttpResponse>;
  readonly #onChunk: () => void;
  readonly #chunks: Buffer[] = [];
  #resolve!: (response: HttpResponse) => void;
  #reject!: (error: Error) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #abortError: Error | undefined;
  #status = 0;
  #entityTag: string | undefined;

  /** @param onChunk - called with each received part of the response */
  public constructor(onChunk: () => void) {
    this.#onChunk = onChunk;
    this.response = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
  }

  /**
   * Gives up the exchange. Behind a network partition the attempt to connect takes seconds to fail; the request is not
   * sent after that.
   *
   * @param error - error with which the response is rejected
   */
  public abort(error: Error): void {
    if (this.#abortError !== undefined) return;
    this.#abortError = error;
    this.#controller?.abort(error);
    this.#reject(error);
  }

  /** Called before the request is sent. */
  public onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#abortError !== undefined) controller.abort(this.#abortError);
  }

  /** Called with the status and the headers of the response. */
  public onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#status = status;
    this.#entityTag = headers.etag;
    this.#onChunk();
  }

  /** Called with each part of the body. */
  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#onChunk();
  }

  /** Called at the end of the response. */
  public onResponseEnd(): void {
    const text = Buffer.concat(this.#chunks).toString('utf8');
    try {
      this.#resolve({
        status: this.#status,
        body: text === '' ? undefined : (JSON.parse(text) as unknown),
        ...(this.#entityTag === undefined ? {} : { entityTag: this.#entityTag }),
      });
    } catch (error) {
      this.#reject(error as Error);
    }
  }

  /** Called when the exchange has failed. */
  public onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#reject(error);
  }
}
