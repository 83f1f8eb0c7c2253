import type { IncomingMessage } from 'node:http';

/**
 * Reads the lines of a streamed body as they arrive.
 *
 * @param request - the HTTP request
 * @returns the lines; the end of the connection ends them too
 */
export async function* readLines(request: IncomingMessage): AsyncGenerator<string> {
  let rest = '';
  request.setEncoding('utf8');
  try {
    for await (const text of request) {
      const parts = (rest + String(text)).split('\n');
      rest = parts.pop() ?? '';
      yield* parts;
    }
  } catch (error) {
    // The caller closed its connection.
    if (request.errored === null) throw error;
  }
}
