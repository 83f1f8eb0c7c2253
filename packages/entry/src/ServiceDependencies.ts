import type { Clock, EventRecorder, RandomSource, Router, TakeoverIndex } from '@toucanline/core';
import type { PeerSet } from '@toucanline/runtime';

/** What the parts of the request service work with. */
export interface ServiceDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly recorder: EventRecorder;
  readonly router: Router;
  readonly peers: Pick<PeerSet, 'call'>;
  /** Reads what passed from lost data centres to others. */
  readonly readTakeovers: () => TakeoverIndex;
}
