import type { HttpContext } from './HttpContext.js';

/** One route of the entry: what the OpenAPI document says of it, and its handler. */
export interface Route {
  readonly method: 'get' | 'post' | 'put' | 'delete';
  /** Path with parameters in braces. */
  readonly path: string;
  readonly summary: string;
  /** Query parameters with their descriptions. */
  readonly query?: Readonly<Record<string, string>>;
  /** Header parameters with their descriptions. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Name of the schema of the body. */
  readonly body?: string;
  /** Names of the schemas of the answers by status; every failure is a `Problem`. */
  readonly responses: Readonly<Record<number, string>>;
  readonly handle: (context: HttpContext) => Promise<void> | void;
}
