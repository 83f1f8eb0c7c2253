import { createFailure, validateValue } from '@toucanline/core';
import { validators, type Failure, type Frame } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { codec } from './codec.js';
import { frameLimits } from './frameLimits.js';

/** Cuts a stream of bytes into validated frames. */
export class FrameReader {
  readonly #chunks: Buffer[] = [];
  #length = 0;
  /** Length of the body of the frame that is being received; undefined until its prefix is there. */
  #size: number | undefined;

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes from the peer
   */
  public add(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#length += chunk.length;
  }

  /**
   * Takes the next complete frame. Chunks are joined only once the whole frame is there, because joining
   * them after each chunk takes quadratic time for a large frame.
   *
   * @returns the frame; undefined if more bytes are needed; `malformedRequest` if the bytes are invalid
   */
  public take(): Result<Frame, Failure> | undefined {
    const { prefixBytes, maxFrameBytes } = frameLimits;
    if (this.#length < prefixBytes) return undefined;
    this.#size ??= this.#readSize();
    const size = this.#size;
    if (size > maxFrameBytes) {
      return err(createFailure('malformedRequest', `frame of ${size} bytes exceeds the bound`));
    }
    if (this.#length < prefixBytes + size) return undefined;
    const buffer = this.#join();
    this.#replace(buffer.subarray(prefixBytes + size));
    this.#size = undefined;
    if (size === 0) return ok({ type: 'heartbeat' });
    return this.#decode(buffer.subarray(prefixBytes, prefixBytes + size));
  }

  #readSize(): number {
    const [first] = this.#chunks;
    const hasPrefix = first !== undefined && first.length >= frameLimits.prefixBytes;
    return (hasPrefix ? first : this.#join()).readUInt32BE(0);
  }

  #join(): Buffer {
    const [first] = this.#chunks;
    if (first !== undefined && this.#chunks.length === 1) return first;
    const joined = Buffer.concat(this.#chunks);
    this.#replace(joined);
    return joined;
  }

  #replace(rest: Buffer): void {
    this.#chunks.length = 0;
    this.#length = rest.length;
    if (rest.length > 0) this.#chunks.push(rest);
  }

  #decode(body: Buffer): Result<Frame, Failure> {
    let data: unknown;
    try {
      data = codec.decode(body);
    } catch {
      return err(createFailure('malformedRequest', 'frame is not CBOR'));
    }
    return validateValue(validators.Frame, data);
  }
}
