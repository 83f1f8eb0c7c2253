/** Mean duration of tasks by image; declared estimates are off by a factor. */
export class ImageDurations {
  readonly #means = new Map<string, number>();

  /**
   * Estimates the duration of a task.
   *
   * @param image - its image
   * @param declaredMs - declared duration in milliseconds
   * @returns milliseconds
   */
  public estimate(image: string | undefined, declaredMs: number): number {
    return Math.max(50, this.#means.get(image ?? '') ?? declaredMs);
  }

  /**
   * Learns from a finished task.
   *
   * @param image - its image
   * @param durationMs - duration in milliseconds
   */
  public record(image: string | undefined, durationMs: number): void {
    if (image === undefined) return;
    const weight = 0.2;
    const mean = this.#means.get(image);
    this.#means.set(
      image,
      mean === undefined ? durationMs : mean * (1 - weight) + durationMs * weight,
    );
  }
}
