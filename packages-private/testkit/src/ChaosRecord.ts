/** One submission of the load, over all of its answers. */
export interface ChaosRecord {
  /** Unique text that its tasks print. */
  readonly text: string;
  readonly queue: string;
  readonly tasks: number;
  readonly idempotent: boolean;
  readonly keyed: boolean;
  readonly detached: boolean;
  readonly sentAtMs: number;
}
