import type { IncomingMessage } from 'node:http';

/**
 * Reads a JSON body.
 *
 * @param request - the HTTP request
 * @returns the value; undefined if there is none or it is not JSON
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
