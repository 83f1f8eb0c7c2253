import { createServer } from 'node:net';

/**
 * All ports are below the range from which the kernel assigns ports to outgoing connections (32768 and above on
 * Linux): a port of that range may be taken between the check and the start of the process that listens on it.
 */
const lowestPort = 12_000;
/**
 * Test files run in parallel in mocha workers, and each worker has its own port range: two that searched one range
 * at the same time could find the same port free. A process that is not a mocha worker uses the last range.
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
 * Finds a TCP port of loopback that is not in use and that was not returned before.
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
