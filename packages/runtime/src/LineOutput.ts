import { fstatSync, writeSync } from 'node:fs';
import { Socket } from 'node:net';

/** Bytes that wait for a slow reader; further lines are dropped and counted. */
const maxPendingBytes = 262_144;
/** Pause before a slow reader is tried again, in milliseconds. */
const retryMs = 50;

/** Writes lines to standard output without ever waiting for its reader. */
export class LineOutput {
  readonly #descriptor = 1;
  /** Keeps the descriptor in non-blocking mode; undefined for files and terminals, which take everything at once. */
  readonly #pipe: Socket | undefined;
  #pending: Buffer = Buffer.alloc(0);
  #droppedLines = 0;
  #timer: NodeJS.Timeout | undefined;

  public constructor() {
    this.#pipe = openPipe(this.#descriptor);
  }

  /**
   * Writes lines, or drops them if the reader is too far behind.
   *
   * @param lines - lines without their ends
   */
  public write(lines: readonly string[]): void {
    const text = `${lines.join('\n')}\n`;
    if (this.#pipe === undefined) {
      process.stdout.write(text);
      return;
    }
    if (this.#pending.length > maxPendingBytes) {
      this.#droppedLines += lines.length;
      return;
    }
    this.#pending = Buffer.concat([this.#pending, Buffer.from(text)]);
    this.flush();
  }

  /** Writes as much of what is pending as the reader takes now. */
  public flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    try {
      while (this.#pending.length > 0) {
        this.#pending = this.#pending.subarray(writeSync(this.#descriptor, this.#pending));
      }
    } catch (error) {
      if (error instanceof Error && 'code' in error && error.code === 'EAGAIN') {
        this.#timer = setTimeout(() => {
          this.flush();
        }, retryMs).unref();
      } else {
        // The reader is gone, so nobody can be told.
        this.#pending = Buffer.alloc(0);
      }
    }
  }

  /**
   * Hands out the number of dropped lines, once the reader takes lines again.
   *
   * @returns lines dropped since the last call that returned some
   */
  public takeDropped(): number {
    if (this.#pending.length > 0) return 0;
    const dropped = this.#droppedLines;
    this.#droppedLines = 0;
    return dropped;
  }
}

/** A pipe is opened anew for its non-blocking mode: Node.js itself writes to standard output synchronously. */
const openPipe = (descriptor: number): Socket | undefined => {
  const stat = fstatSync(descriptor);
  if (!stat.isFIFO() && !stat.isSocket()) return undefined;
  try {
    const socket = new Socket({ fd: descriptor, readable: false, writable: true });
    // The reader's end shows at the next write.
    socket.on('error', () => undefined);
    socket.unref();
    return socket;
  } catch {
    // A descriptor that cannot be opened anew is written like a file.
    return undefined;
  }
};
