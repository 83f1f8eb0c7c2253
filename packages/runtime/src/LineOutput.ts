/** Bytes that wait for a slow reader; further lines are dropped and counted. */
const maxPendingBytes = 262_144;

/** Writes lines to standard output, of which Node.js would otherwise buffer any amount for a slow reader. */
export class LineOutput {
  #droppedCount = 0;

  /**
   * Writes lines, or drops them if the reader is too far behind.
   *
   * @param lines - lines without their ends
   */
  public write(lines: readonly string[]): void {
    if (process.stdout.writableLength > maxPendingBytes) this.#droppedCount += lines.length;
    else process.stdout.write(`${lines.join('\n')}\n`);
  }

  /**
   * Hands out the number of dropped lines, once the reader takes lines again.
   *
   * @returns lines dropped since the last call that returned some
   */
  public takeDroppedCount(): number {
    if (process.stdout.writableLength > 0) return 0;
    const dropped = this.#droppedCount;
    this.#droppedCount = 0;
    return dropped;
  }
}
