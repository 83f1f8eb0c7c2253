/** Maximum number of bytes that are buffered for a slow reader; further lines are dropped and counted. */
const maxPendingBytes = 262_144;

/** Writes lines to standard output with a bounded buffer. Node.js would buffer without bound for a slow reader. */
export class LineOutput {
  #droppedCount = 0;

  /**
   * Writes lines, or drops them if the buffer is full.
   *
   * @param lines - lines without line breaks
   */
  public write(lines: readonly string[]): void {
    if (process.stdout.writableLength > maxPendingBytes) this.#droppedCount += lines.length;
    else process.stdout.write(`${lines.join('\n')}\n`);
  }

  /**
   * Returns and resets the number of dropped lines, once the reader has read the buffered lines.
   *
   * @returns number of lines dropped since the last call that returned a number above 0; 0 while lines are buffered
   */
  public takeDroppedCount(): number {
    if (process.stdout.writableLength > 0) return 0;
    const count = this.#droppedCount;
    this.#droppedCount = 0;
    return count;
  }
}
