/** Response of an HTTP interface of the platform. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
}
