import type { Clock } from './Clock.js';
import type { Effect } from './Effect.js';
import type { EventRecorder } from './EventRecorder.js';
import type { Invariant } from './Invariant.js';
import type { RandomSource } from './RandomSource.js';

/** Identity and services that the components of a shard share. */
export interface ShardContext {
  /** Name of the shard. */
  readonly shard: string;
  /** Data centre of the shard. */
  readonly dataCentre: string;
  /** Epoch of this ownership, sent with each command to a worker as the fencing token. */
  readonly epoch: number;
  /** Name of the owning process. */
  readonly owner: string;
  /** True if the shard was taken over without the store and without confirmation that the previous owner stopped. */
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
