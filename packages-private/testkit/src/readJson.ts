import type { IncomingMessage } from 'node:http';

/**
 * Reads and decodes a JSON body.
 *
 * @param request - the HTTP request
 * @returns the value; undefined if the body is absent or not JSON
 */
export const readJson = async (request: IncomingMessage): Promise<unknown> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    return undefined;
  }
};
