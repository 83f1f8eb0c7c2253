import type { Protocol, Service } from 'restana';

/**
 * Starts an HTTP service.
 *
 * @param service - the service, which is not started yet
 * @param port - TCP port; 0 lets the operating system choose a free one
 * @param host - IP address to bind
 * @throws Error with the code of the operating system, for example `EADDRINUSE`, if the address cannot be bound
 */
export const startHttpService = (
  service: Service<Protocol.HTTP>,
  port: number,
  host: string,
): Promise<void> =>
  new Promise((resolve, reject) => {
    // Without a listener an error ends the process. Later errors concern single attempts to connect, whose client
    // retries.
    service.getServer().on('error', reject);
    service.start(port, host).then(() => {
      resolve();
    }, reject);
  });
