import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { HttpFault } from './HttpFault.js';
import { readLines } from './readLines.js';
import { sleep } from './sleep.js';

type JsonResponse = Readonly<{ status: number; body: unknown }>;

/** A fake HTTP service of the platform on loopback, with fault injection. */
export abstract class HttpFake {
  readonly #server: Server;
  #port = 0;
  #fault: HttpFault = 'none';
  #delayMs = 0;
  #callCount = 0;

  protected constructor() {
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  /** IP address and port. */
  public get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** Base URL. */
  public get url(): string {
    return `http://${this.address}`;
  }

  /** Number of calls received so far. */
  public get callCount(): number {
    return this.#callCount;
  }

  /**
   * Sets the fault for all further calls.
   *
   * @param fault - `down` closes connections, `hang` never responds, `loseAnswers` handles the call but does not respond
   * @param delayMs - delay before each call is handled, in milliseconds
   */
  public setFault(fault: HttpFault, delayMs = 0): void {
    this.#fault = fault;
    this.#delayMs = delayMs;
  }

  /**
   * Listens on a free port of loopback; after a stop, on the same port.
   *
   * @returns a promise that resolves once the port is bound
   */
  public start(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(this.#port, '127.0.0.1', () => {
        this.#port = (this.#server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /** Stops listening and closes all connections. */
  public stop(): void {
    this.closeConnections();
    this.#server.close();
  }

  /** Closes all connections; calls that are being handled get no response. */
  public closeConnections(): void {
    this.#server.closeAllConnections();
  }

  /**
   * Handles one call.
   *
   * @param request - the HTTP request
   * @returns status and JSON body
   */
  protected abstract handle(request: IncomingMessage): Promise<JsonResponse>;

  /**
   * Opens a stream, each line of which is handled as a call.
   *
   * @param request - the HTTP request
   * @returns handler of a line; undefined if the request is a single call
   */
  protected abstract openStream(
    request: IncomingMessage,
  ): ((line: string) => Promise<JsonResponse>) | undefined;

  async #serveStream(
    request: IncomingMessage,
    response: ServerResponse,
    handleLine: (line: string) => Promise<JsonResponse>,
  ): Promise<void> {
    for await (const line of readLines(request)) {
      this.#callCount += 1;
      const fault = this.#fault;
      if (fault === 'down') request.socket.destroy();
      if (fault === 'down' || fault === 'hang') continue;
      if (this.#delayMs > 0) await sleep(this.#delayMs);
      const { status, body } = await handleLine(line);
      if (fault === 'loseAnswers') request.socket.destroy();
      if (response.destroyed || request.socket.destroyed) return;
      if (!response.headersSent) {
        response.writeHead(status, { 'content-type': 'application/x-ndjson' });
      }
      response.write(`${JSON.stringify(body)}\n`);
      if (status !== 200) break;
    }
    response.end();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const handleLine = this.openStream(request);
    if (handleLine !== undefined) {
      await this.#serveStream(request, response, handleLine);
      return;
    }
    this.#callCount += 1;
    const fault = this.#fault;
    if (fault === 'down') request.socket.destroy();
    if (fault === 'down' || fault === 'hang') return;
    if (this.#delayMs > 0) await sleep(this.#delayMs);
    const result = await this.handle(request).catch((error: unknown) => {
      // The client was killed while it sent its request.
      if (request.errored === null) throw error;
      return undefined;
    });
    if (result === undefined) return;
    const { status, body } = result;
    if (fault === 'loseAnswers' && request.method !== 'GET') {
      request.socket.destroy();
      return;
    }
    if (response.destroyed) return;
    const text = JSON.stringify(body);
    if (request.method !== 'GET') {
      response.writeHead(status, { 'content-type': 'application/json' }).end(text);
      return;
    }
    const entityTag = `"${createHash('sha1').update(text).digest('hex')}"`;
    const isUnchanged = request.headers['if-none-match'] === entityTag;
    response.writeHead(isUnchanged ? 304 : status, {
      'content-type': 'application/json',
      etag: entityTag,
    });
    response.end(isUnchanged ? undefined : text);
  }
}
