import { createServer } from 'node:net';

/**
 * Ports below the range that the kernel gives to outgoing connections (32768 and above on Linux): one of
 * those may be taken again between the check and the start of the process that listens on it.
 */
const firstPort = 12_000;
const lastPort = 32_000;
const given = new Set<number>();

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
 * Finds a TCP port of loopback that nobody uses and that was not given before.
 *
 * @returns the port
 */
export const findFreePort = async (): Promise<number> => {
  for (;;) {
    const port = firstPort + Math.floor(Math.random() * (lastPort - firstPort));
    if (given.has(port) || !(await isFree(port))) continue;
    given.add(port);
    return port;
  }
};
