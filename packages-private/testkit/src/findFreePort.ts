import { createServer } from 'node:net';

/**
 * Ports below the range that the kernel gives to outgoing connections (32768 and above on Linux): one of
 * those may be taken again between the check and the start of the process that listens on it.
 */
const lowestPort = 12_000;
/**
 * Test files run side by side in workers of mocha, and each worker looks in a part of its own: two that look at the
 * same time would find the same port free. A process that is no worker of mocha has the last part.
 */
const portsPerMochaWorker = 5000;
const portRangeCount = 4;
const portRangeIndex = Number(process.env.MOCHA_WORKER_ID ?? portRangeCount - 1) % portRangeCount;
const firstPort = lowestPort + portRangeIndex * portsPerMochaWorker;
const assignedPorts = new Set<number>();

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
    const port = firstPort + Math.floor(Math.random() * portsPerMochaWorker);
    if (assignedPorts.has(port) || !(await isFree(port))) continue;
    assignedPorts.add(port);
    return port;
  }
};
