import type { RequestView } from '@toucanline/schema';

/** View of a request with the shard and the epoch of the owner that returned it. */
export interface OwnerReply {
  readonly view: RequestView;
  readonly epoch: number;
  readonly shard: string;
}
