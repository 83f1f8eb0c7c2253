/** Response of an HTTP service of the platform. */
export interface HttpResponse {
  readonly status: number;
  /** JSON value of the body; undefined if the response has no body. */
  readonly body: unknown;
  /** Entity tag of the body, if the service sent one. */
  readonly entityTag?: string;
}
