import type { HttpContext } from './HttpContext.js';

/** Route of the entry: its description in the OpenAPI document, and its handler. */
export interface Route {
  readonly method: 'get' | 'post' | 'put' | 'delete';
  /** Path with parameters in braces. */
  readonly path: string;
  readonly summary: string;
  /** Query parameters with their descriptions. */
  readonly query?: Readonly<Record<string, string>>;
  /** Header parameters with their descriptions. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Name of the schema of the request body. */
  readonly body?: string;
  /** Names of the schemas of the responses, by HTTP status; every failure is a `Problem`. */
  readonly responses: Readonly<Record<number, string>>;
  readonly handle: (context: HttpContext) => Promise<void> | void;
}
