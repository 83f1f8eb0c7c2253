/** One submission of the load, over all of its answers. */
export interface ChaosSubmission {
  /** Unique text that its tasks print. */
  readonly text: string;
  readonly queue: string;
  readonly taskCount: number;
  readonly isIdempotent: boolean;
  readonly hasIdempotencyKey: boolean;
  readonly isDetached: boolean;
  readonly sentAtMs: number;
}
