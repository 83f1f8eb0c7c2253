import { createServer } from 'node:net';

/** Ports below the range that systems give to outgoing connections, which would take a free port again. */
const firstPort = 12_000;
const ports = 20_000;
const maxAttempts = 100;

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

/**
 * Finds a free TCP port of loopback.
 *
 * @returns the port
 * @throws Error if there is none among many
 */
export const findFreePort = async (): Promise<number> => {
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const port = firstPort + Math.floor(Math.random() * ports);
    if (await isFree(port)) return port;
  }
  throw new Error('no free port of loopback');
};
