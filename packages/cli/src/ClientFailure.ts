import type { Problem } from '@toucanline/schema';

/** Failure that ends a command. */
export interface ClientFailure {
  /** What went wrong, in one or more lines. */
  readonly message: string;
  /** Suggestion of what to do next. */
  readonly next: string;
  /** Exit code of the process, one of {@link exitCodes}. */
  readonly exitCode: number;
  /** Error response of the entry, if it sent one. */
  readonly problem?: Problem;
}
