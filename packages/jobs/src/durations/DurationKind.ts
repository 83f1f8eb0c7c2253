import type { DurationLevel } from './DurationLevel.js';

/** Kinds of work that a step belongs to, from general to specific. */
export interface DurationKind {
  readonly keys: readonly { readonly level: DurationLevel; readonly key: string }[];
  /** Declared duration in milliseconds to which the learned ratios apply. */
  readonly baseMs: number;
}
