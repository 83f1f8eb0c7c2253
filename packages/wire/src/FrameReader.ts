import { createFailure, validateValue } from '@toucanline/core';
import { validators, type Failure, type Frame } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { codec } from './codec.js';
import { frameLimits } from './frameLimits.js';

/** Smallest buffer for an unfinished frame, in bytes. */
const minCapacityBytes = 1024;

const empty = Buffer.alloc(0);

/**
 * Splits a stream of bytes into validated frames. Bytes of an unfinished frame are copied into one growing buffer: a
 * list of received chunks would cost many times their length if the peer sends single bytes.
 */
export class FrameReader {
  /** Received bytes that belong to no complete frame, or to frames that were not read yet. */
  #buffer: Buffer = empty;
  #length = 0;

  /** Bytes of memory that unfinished frames occupy. */
  public get bufferedBytes(): number {
    return this.#buffer.length;
  }

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes from the peer
   */
  public add(chunk: Buffer): void {
    if (this.#length === 0) {
      // A chunk of whole frames, which is the usual case, is not copied.
      this.#buffer = chunk;
      this.#length = chunk.length;
      return;
    }
    const needed = this.#length + chunk.length;
    if (needed > this.#buffer.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(minCapacityBytes, needed, this.#length * 2));
      this.#buffer.copy(grown, 0, 0, this.#length);
      this.#buffer = grown;
    }
    chunk.copy(this.#buffer, this.#length);
    this.#length = needed;
  }

  /**
   * Returns and removes the next complete frame.
   *
   * @returns the frame; undefined if more bytes are needed; `malformedRequest` if the bytes are not a valid frame or
   * exceed the size limit
   */
  public readNext(): Result<Frame, Failure> | undefined {
    const { prefixBytes, maxFrameBytes } = frameLimits;
    if (this.#length < prefixBytes) return undefined;
    const bodyLength = this.#buffer.readUInt32BE(0);
    if (bodyLength > maxFrameBytes) {
      return err(
        createFailure('malformedRequest', `frame of ${bodyLength} bytes exceeds the size limit`),
      );
    }
    const frameLength = prefixBytes + bodyLength;
    if (this.#length < frameLength) return undefined;
    const body = this.#buffer.subarray(prefixBytes, frameLength);
    this.#buffer = this.#buffer.subarray(frameLength, this.#length);
    this.#length -= frameLength;
    if (this.#length === 0) this.#buffer = empty;
    if (bodyLength === 0) return ok({ type: 'heartbeat' });
    return this.#decode(body);
  }

  #decode(body: Buffer): Result<Frame, Failure> {
    let data: unknown;
    try {
      data = codec.decode(body);
    } catch {
      return err(createFailure('malformedRequest', 'frame body is not valid CBOR'));
    }
    return validateValue(validators.Frame, data);
  }
}
