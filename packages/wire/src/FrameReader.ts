import { createFailure, validateValue } from '@toucanline/core';
import { validators, type Failure, type Frame } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { codec } from './codec.js';
import { frameLimits } from './frameLimits.js';

/** Splits a stream of bytes into validated frames. */
export class FrameReader {
  readonly #chunks: Buffer[] = [];
  #bufferedLength = 0;
  /** Length in bytes of the body of the frame that is being received; undefined until its prefix is complete. */
  #bodyLength: number | undefined;

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes from the peer
   */
  public add(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#bufferedLength += chunk.length;
  }

  /**
   * Returns and removes the next complete frame. Chunks are joined only once the whole frame was received, because
   * joining them after each chunk takes quadratic time for a large frame.
   *
   * @returns the frame; undefined if more bytes are needed; `malformedRequest` if the bytes are not a valid frame or
   * exceed the size limit
   */
  public readNext(): Result<Frame, Failure> | undefined {
    const { prefixBytes, maxFrameBytes } = frameLimits;
    if (this.#bufferedLength < prefixBytes) return undefined;
    this.#bodyLength ??= this.#readBodyLength();
    const bodyLength = this.#bodyLength;
    if (bodyLength > maxFrameBytes) {
      return err(
        createFailure('malformedRequest', `frame of ${bodyLength} bytes exceeds the size limit`),
      );
    }
    if (this.#bufferedLength < prefixBytes + bodyLength) return undefined;
    const buffer = this.#joinChunks();
    this.#replaceChunks(buffer.subarray(prefixBytes + bodyLength));
    this.#bodyLength = undefined;
    if (bodyLength === 0) return ok({ type: 'heartbeat' });
    return this.#decode(buffer.subarray(prefixBytes, prefixBytes + bodyLength));
  }

  #readBodyLength(): number {
    const [first] = this.#chunks;
    const hasPrefix = first !== undefined && first.length >= frameLimits.prefixBytes;
    return (hasPrefix ? first : this.#joinChunks()).readUInt32BE(0);
  }

  #joinChunks(): Buffer {
    const [first] = this.#chunks;
    if (first !== undefined && this.#chunks.length === 1) return first;
    const joined = Buffer.concat(this.#chunks);
    this.#replaceChunks(joined);
    return joined;
  }

  #replaceChunks(rest: Buffer): void {
    this.#chunks.length = 0;
    this.#bufferedLength = rest.length;
    if (rest.length > 0) this.#chunks.push(rest);
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
