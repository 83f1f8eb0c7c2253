/** Moving mean of task durations by image, used in place of declared durations, which are off by a factor. */
export class ImageDurations {
  readonly #means = new Map<string, number>();

  /**
   * Estimates the duration of a task.
   *
   * @param image - image of the task
   * @param declaredMs - declared duration in milliseconds, used without an image, and until a task of the image has finished
   * @returns duration in milliseconds, at least 50
   */
  public estimate(image: string | undefined, declaredMs: number): number {
    return Math.max(50, this.#means.get(image ?? '') ?? declaredMs);
  }

  /**
   * Records a finished task.
   *
   * @param image - image of the task
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
