import type { Problem } from '@toucanline/schema';

/** Why a command cannot go on. */
export interface ClientFailure {
  readonly message: string;
  /** What the reader can do next. */
  readonly next: string;
  readonly exit: number;
  /** The answer of the entry, if it gave one. */
  readonly problem?: Problem;
}
