import type { WorkKind } from '@toucanline/schema';

/** Distribution of the requests of one queue. */
export interface WorkShape {
  /** Name of the queue. */
  readonly name: string;
  /** Weight in the number of requests. */
  readonly weight: number;
  readonly kind: WorkKind;
  readonly urgent?: boolean;
  /** Numbers of tasks per request to pick from. */
  readonly tasks: readonly number[];
  /** Task sizes to pick from: processors, gigabytes of memory, accelerators. */
  readonly sizes: readonly (readonly [number, number, number])[];
  /** Shortest and longest declared run time in seconds. */
  readonly runSeconds: readonly [number, number];
}
