import { Readable } from 'node:stream';
import { createFailure } from '@toucanline/core';
import type { Failure, Renewal, RenewalStep } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { Client } from 'undici';
import { createHttpFailure } from './createHttpFailure.js';

/** HTTP servers bound the time of a request; Node.js ends one after 300 s. */
const maxStreamAgeMs = 240_000;
/** Time without a renewal after which the stream closes; the worker may have another owner by then. */
const idleTimeoutMs = 10_000;
const maxLineLength = 32 * 1024 * 1024;
const headers = { 'content-type': 'application/x-ndjson' };

const isSameAuthority = (one: Renewal['authority'], other: Renewal['authority']): boolean =>
  one.shard === other.shard &&
  one.epoch === other.epoch &&
  one.owner === other.owner &&
  one.provisional === other.provisional &&
  one.bootId === other.bootId;

/** The fields of a renewal that differ from the one before on the same stream. */
const createRenewalStep = (former: Renewal, renewal: Renewal): RenewalStep => ({
  leaseUntil: renewal.leaseUntil,
  ...(renewal.acknowledged === former.acknowledged ? {} : { acknowledged: renewal.acknowledged }),
  ...(renewal.waitMs === former.waitMs ? {} : { waitMs: renewal.waitMs }),
});

/**
 * Renewals of one owner with one worker over one HTTP exchange: a line of the request for each renewal, a
 * line of the response for each answer. It has a connection of its own, which closes with it.
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
   * @param onClose - called once when the stream has closed
   */
  public constructor(origin: string, onClose: (stream: RenewalStream) => void) {
    this.#url = `${origin}/v1/renewals`;
    this.#onClose = onClose;
    // The bounds are those of each renewal.
    this.#client = new Client(origin, { headersTimeout: 0, bodyTimeout: 0 });
    this.#requestLines.on('error', (error) => {
      this.#closeWith(createHttpFailure(this.#url, error));
    });
  }

  /** Whether the stream carries nothing any more. */
  public get isClosed(): boolean {
    return this.#isClosed;
  }

  /**
   * Checks whether a renewal may follow on this stream.
   *
   * @param renewal - the next renewal
   * @returns false if the stream is closed or too old, or stands for another authority
   */
  public canCarry(renewal: Renewal): boolean {
    const isYoung = performance.now() - this.#openedAt < maxStreamAgeMs;
    const isSame =
      this.#lastRenewal === undefined ||
      isSameAuthority(this.#lastRenewal.authority, renewal.authority);
    return !this.#isClosed && isYoung && isSame && !renewal.full;
  }

  /**
   * Sends a renewal and waits for its answer. A renewal without an answer closes the stream.
   *
   * @param renewal - the renewal; the one before has its answer
   * @param timeoutMs - longest wait, in milliseconds
   * @returns the answer or refusal; `storeUnavailable` if nothing was processed; `timeout` if that is unknown
   */
  public send(renewal: Renewal, timeoutMs: number): Promise<Result<unknown, Failure>> {
    const former = this.#lastRenewal;
    this.#lastRenewal = renewal;
    const line = former === undefined ? renewal : createRenewalStep(former, renewal);
    return new Promise((resolve) => {
      this.#resolvePending = resolve;
      this.#setTimer(timeoutMs, 'no answer in time');
      this.#requestLines.push(`${JSON.stringify(line)}\n`);
      if (former === undefined) void this.#open();
    });
  }

  /** Closes the stream with its connection; a renewal without an answer fails. */
  public close(): void {
    this.#closeWith(createFailure('timeout', `${this.#url}: closed`));
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
      this.#closeWith(createFailure('internal', `${this.#url}: ended with status ${statusCode}`));
    } catch (error) {
      this.#closeWith(createHttpFailure(this.#url, error));
    }
  }

  #handleChunk(text: string): void {
    const parts = (this.#partialLine + text).split('\n');
    this.#partialLine = parts.pop() ?? '';
    if (this.#partialLine.length > maxLineLength) throw new Error('the answer is too long');
    for (const part of parts) this.#handleLine(part);
  }

  #handleLine(line: string): void {
    const settle = this.#resolvePending;
    if (settle === undefined) throw new Error('an answer without a renewal');
    this.#resolvePending = undefined;
    this.#setTimer(idleTimeoutMs, 'not used any more');
    settle(ok(JSON.parse(line) as unknown));
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
