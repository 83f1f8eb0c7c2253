import type { WorkKind } from '@toucanline/schema';

/** Requests of one purpose. */
export interface WorkShape {
  readonly name: string;
  /** Part of the requests. */
  readonly weight: number;
  readonly kind: WorkKind;
  readonly urgent?: boolean;
  readonly tasks: readonly number[];
  /** Processors, gigabytes and accelerators of a task. */
  readonly sizes: readonly (readonly [number, number, number])[];
  /** Shortest and longest run time in seconds. */
  readonly runSeconds: readonly [number, number];
}
