/** A submission of the load, which may be sent several times. */
export interface ChaosSubmission {
  /** Unique text that its tasks print, by which its executions are found. */
  readonly text: string;
  readonly queue: string;
  readonly taskCount: number;
  readonly isIdempotent: boolean;
  readonly hasIdempotencyKey: boolean;
  readonly isDetached: boolean;
  /** Local monotonic time of the first send, in milliseconds. */
  readonly sentAtMs: number;
}
