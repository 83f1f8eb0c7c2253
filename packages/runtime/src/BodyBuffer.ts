/** Smallest buffer, in bytes: most bodies fit into it. */
const minCapacityBytes = 4096;

/** Body of a request in one growing buffer. Slices of received chunks would retain the whole chunks. */
export class BodyBuffer {
  readonly #maxBytes: number;
  readonly #reserve: (bytes: number) => boolean;
  #buffer = Buffer.alloc(0);
  #length = 0;

  /**
   * @param maxBytes - largest body, in bytes
   * @param reserve - counts bytes before they are stored; returns false if they must not be stored
   */
  public constructor(maxBytes: number, reserve: (bytes: number) => boolean) {
    this.#maxBytes = maxBytes;
    this.#reserve = reserve;
  }

  /** The received part of the body as text. */
  public get text(): string {
    return this.#buffer.toString('utf8', 0, this.#length);
  }

  /**
   * Adds received bytes.
   *
   * @param chunk - received bytes
   * @returns `stored`; `tooLarge` if the body exceeds its limit; `refused` if the bytes could not be reserved
   */
  public append(chunk: Buffer): 'stored' | 'tooLarge' | 'refused' {
    const needed = this.#length + chunk.length;
    if (needed > this.#maxBytes) return 'tooLarge';
    if (needed > this.#buffer.length && !this.#grow(needed)) return 'refused';
    chunk.copy(this.#buffer, this.#length);
    this.#length = needed;
    return 'stored';
  }

  #grow(needed: number): boolean {
    const doubled = Math.max(minCapacityBytes, needed, this.#buffer.length * 2);
    const capacity = Math.min(this.#maxBytes, doubled);
    if (!this.#reserve(capacity - this.#buffer.length)) return false;
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.#buffer.copy(grown, 0, 0, this.#length);
    this.#buffer = grown;
    return true;
  }
}
