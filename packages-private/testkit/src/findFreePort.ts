import { createServer, type AddressInfo } from 'node:net';

/**
 * Finds a free TCP port of loopback.
 *
 * @returns the port
 */
export const findFreePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(port);
      });
    });
  });
