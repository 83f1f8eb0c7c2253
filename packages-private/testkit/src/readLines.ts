import type { IncomingMessage } from 'node:http';

/**
 * Reads the lines of a streamed body as they arrive.
 *
 * @param request - the HTTP request
 * @returns the lines, until the body or the connection ends
 */
export async function* readLines(request: IncomingMessage): AsyncGenerator<string> {
  let rest = '';
  request.setEncoding('utf8');
  try {
    for await (const text of request) {
      const lines = (rest + String(text)).split('\n');
      rest = lines.pop() ?? '';
      yield* lines;
    }
  } catch (error) {
    // The client closed its connection.
    if (request.errored === null) throw error;
  }
}
