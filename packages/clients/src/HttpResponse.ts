/** Response of an HTTP interface of the platform. */
export interface HttpResponse {
  readonly status: number;
  /** Undefined if the response has no body. */
  readonly body: unknown;
  /** Entity tag of the body, if the service sent one. */
  readonly entityTag?: string;
}
