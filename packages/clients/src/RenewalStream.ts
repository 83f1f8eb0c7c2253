import { Readable } from 'node:stream';
import { createFailure } from '@toucanline/core';
import type { Failure, Renewal, RenewalStep } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { Client } from 'undici';
import { createHttpFailure } from './createHttpFailure.js';

/** Maximum age of a stream, in milliseconds: HTTP servers limit the duration of a request, Node.js to 300 s. */
const maxStreamAgeMs = 240_000;
/** Time without a renewal after which a stream closes, in milliseconds; the worker may have another owner by then. */
const idleTimeoutMs = 10_000;
const maxLineCharacters = 32 * 1024 * 1024;
const headers = { 'content-type': 'application/x-ndjson' };

const isSameAuthority = (one: Renewal['authority'], other: Renewal['authority']): boolean =>
  one.shard === other.shard &&
  one.epoch === other.epoch &&
  one.owner === other.owner &&
  one.provisional === other.provisional &&
  one.bootId === other.bootId;

/** Creates a step with the fields of a renewal that differ from the previous renewal on the same stream. */
const createRenewalStep = (previous: Renewal, renewal: Renewal): RenewalStep => ({
  leaseUntil: renewal.leaseUntil,
  ...(renewal.acknowledged === previous.acknowledged ? {} : { acknowledged: renewal.acknowledged }),
  ...(renewal.waitMs === previous.waitMs ? {} : { waitMs: renewal.waitMs }),
});

/**
 * Lease renewals of one owner at one worker over one HTTP request: the request has a line for each renewal, the
 * response a line for each answer. The stream has its own connection, which closes with the stream.
 */
export class RenewalStream {
  readonly #url: string;
  readonly #client: Client;
  readonly #requestLines = new Readable({ read: () => undefined });
  readonly #openedAt = performance.now();
  readonly #onClose: (stream: RenewalStream) => void;
  #lastRenewal: Renewal | undefined;
  #resolvePending: ((result: Result<unknown, Failure>) => void) | undefined;
  #timer: NodeJS.Timeout | undefined;
  #partialLine = '';
  #isClosed = false;

  /**
   * @param origin - scheme and address of the worker
   * @param onClose - called once the stream is closed
   */
  public constructor(origin: string, onClose: (stream: RenewalStream) => void) {
    this.#url = `${origin}/v1/renewals`;
    this.#onClose = onClose;
    // Each renewal has its own timeout.
    this.#client = new Client(origin, { headersTimeout: 0, bodyTimeout: 0 });
    this.#requestLines.on('error', (error) => {
      this.#closeWith(createHttpFailure(this.#url, error));
    });
  }

  /** Whether the stream is closed. */
  public get isClosed(): boolean {
    return this.#isClosed;
  }

  /**
   * Checks whether this stream can carry a renewal.
   *
   * @param renewal - the next renewal
   * @returns false if the stream is closed, too old or for another authority, or if the renewal asks for a full report
   */
  public canCarry(renewal: Renewal): boolean {
    const isBelowMaxAge = performance.now() - this.#openedAt < maxStreamAgeMs;
    const hasSameAuthority =
      this.#lastRenewal === undefined ||
      isSameAuthority(this.#lastRenewal.authority, renewal.authority);
    return !this.#isClosed && isBelowMaxAge && hasSameAuthority && !renewal.full;
  }

  /**
   * Sends a renewal and waits for its answer. The stream closes if the renewal gets no answer.
   *
   * @param renewal - the renewal; the previous one has been answered
   * @param timeoutMs - longest wait for the answer, in milliseconds
   * @returns the answer or refusal; `storeUnavailable` if the renewal was not processed; `timeout` if that is unknown;
   * `internal` if the response ended
   */
  public send(renewal: Renewal, timeoutMs: number): Promise<Result<unknown, Failure>> {
    const previous = this.#lastRenewal;
    this.#lastRenewal = renewal;
    const line = previous === undefined ? renewal : createRenewalStep(previous, renewal);
    return new Promise((resolve) => {
      this.#resolvePending = resolve;
      this.#setTimer(timeoutMs, 'the worker sent no answer in time');
      this.#requestLines.push(`${JSON.stringify(line)}\n`);
      if (previous === undefined) void this.#open();
    });
  }

  /** Closes the stream and its connection; a pending renewal fails with `timeout`. */
  public close(): void {
    this.#closeWith(createFailure('timeout', `${this.#url}: the stream was closed`));
  }

  async #open(): Promise<void> {
    try {
      const { statusCode, body } = await this.#client.request({
        method: 'POST',
        path: '/v1/renewals',
        headers,
        body: this.#requestLines,
      });
      body.setEncoding('utf8');
      for await (const text of body) this.#handleChunk(text as string);
      if (this.#partialLine !== '') this.#handleLine(this.#partialLine);
      this.#closeWith(
        createFailure('internal', `${this.#url}: the response with status ${statusCode} ended`),
      );
    } catch (error) {
      this.#closeWith(createHttpFailure(this.#url, error));
    }
  }

  #handleChunk(text: string): void {
    const lines = (this.#partialLine + text).split('\n');
    this.#partialLine = lines.pop() ?? '';
    if (this.#partialLine.length > maxLineCharacters)
      throw new Error('the answer exceeds the maximum length of a line');
    for (const line of lines) this.#handleLine(line);
  }

  #handleLine(line: string): void {
    const resolve = this.#resolvePending;
    if (resolve === undefined) throw new Error('received an answer without a pending renewal');
    this.#resolvePending = undefined;
    this.#setTimer(idleTimeoutMs, 'the stream was idle');
    resolve(ok(JSON.parse(line) as unknown));
  }

  #setTimer(delayMs: number, detail: string): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#closeWith(createFailure('timeout', `${this.#url}: ${detail}`));
    }, delayMs);
  }

  #closeWith(failure: Failure): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#resolvePending?.(err(failure));
    this.#resolvePending = undefined;
    this.#onClose(this);
    void this.#client.destroy();
  }
}
