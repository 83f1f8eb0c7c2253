import type { Ran } from '@toucanline/schema';

/** How an error kind is answered to a caller. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Whether the request ran. */
  readonly ran: Ran;
  /** Whether the same request may succeed later. */
  readonly retry: boolean;
  /** One sentence for the operators' documentation. */
  readonly meaning: string;
}
