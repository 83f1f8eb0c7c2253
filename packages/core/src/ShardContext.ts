import type { Clock } from './Clock.js';
import type { Effect } from './Effect.js';
import type { EventRecorder } from './EventRecorder.js';
import type { Invariant } from './Invariant.js';
import type { RandomSource } from './RandomSource.js';

/** What the parts of a shard share. */
export interface ShardContext {
  /** Name of the shard. */
  readonly shard: string;
  /** Data centre of the shard. */
  readonly dataCentre: string;
  /** Epoch of this ownership; the fencing token of each worker command. */
  readonly epoch: number;
  /** Name of the owning process. */
  readonly owner: string;
  /** True if the ownership was taken without the store and without the word of the former owner that it stopped. */
  readonly provisional: boolean;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
  readonly invariant: Invariant;
  /**
   * Queues an effect for the host process.
   *
   * @param effect - the effect
   */
  readonly emit: (effect: Effect) => void;
}
