import { createFailure, validateValue } from '@toucanline/core';
import { validators, type Failure, type Frame } from '@toucanline/schema';
import { err, type Result } from 'neverthrow';
import { codec } from './codec.js';
import { frameLimits } from './frameLimits.js';

/** Cuts a stream of bytes into validated frames. */
export class FrameReader {
  #chunks: readonly Buffer[] = [];
  #length = 0;

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes from the peer
   */
  public add(chunk: Buffer): void {
    this.#chunks = [...this.#chunks, chunk];
    this.#length += chunk.length;
  }

  /**
   * Takes the next complete frame.
   *
   * @returns the frame; undefined if more bytes are needed; `malformedRequest` if the bytes are invalid
   */
  public take(): Result<Frame, Failure> | undefined {
    const { prefixBytes, maxFrameBytes } = frameLimits;
    if (this.#length < prefixBytes) return undefined;
    const buffer = this.#join();
    const size = buffer.readUInt32BE(0);
    if (size > maxFrameBytes) {
      return err(createFailure('malformedRequest', `frame of ${size} bytes exceeds the bound`));
    }
    if (buffer.length < prefixBytes + size) return undefined;
    const rest = buffer.subarray(prefixBytes + size);
    this.#chunks = rest.length === 0 ? [] : [rest];
    this.#length = rest.length;
    return this.#decode(buffer.subarray(prefixBytes, prefixBytes + size));
  }

  #join(): Buffer {
    const [first] = this.#chunks;
    if (first !== undefined && this.#chunks.length === 1) return first;
    const joined = Buffer.concat(this.#chunks);
    this.#chunks = [joined];
    return joined;
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
