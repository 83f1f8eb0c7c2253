import type { RequestView } from '@toucanline/schema';

/** A view together with the epoch of the owner that gave it. */
export interface OwnerReply {
  readonly view: RequestView;
  readonly epoch: number;
  readonly shard: string;
}
