import type { Ran } from '@toucanline/schema';

/** Response to a caller for an error kind. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Whether the request ran, as far as is known. */
  readonly ran: Ran;
  /** Whether the same request may succeed later. */
  readonly retry: boolean;
  /** Explanation in one sentence, for the generated reference. */
  readonly meaning: string;
}
