import type { Clock, EventRecorder, RandomSource, Router, TakeoverIndex } from '@toucanline/core';
import type { PeerSet } from '@toucanline/runtime';

/** Dependencies of the request service and of its components. */
export interface ServiceDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
  readonly router: Router;
  readonly peers: Pick<PeerSet, 'call'>;
  /** Reads the index of the work that other data centres took over from lost ones. */
  readonly readTakeovers: () => TakeoverIndex;
}
