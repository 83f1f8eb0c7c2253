import { mkdirSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/**
 * All ports are below the range from which the kernel assigns ports to outgoing connections (32768 and above on
 * Linux): a port of that range may be taken between the check and the start of the process that listens on it.
 */
const lowestPort = 12_000;
const portCount = 20_000;
/** Age from which a reservation is void, in milliseconds: its process was killed before it could remove it. */
const reservationMs = 3_600_000;
/** Folder with a file for each reserved port: test runs at the same time must not find the same port free. */
const reservationFolder = join(tmpdir(), 'toucanline-ports');
const reservedFiles = new Set<string>();

process.on('exit', () => {
  for (const file of reservedFiles) rmSync(file, { force: true });
});

const reserve = (port: number): boolean => {
  const file = join(reservationFolder, String(port));
  mkdirSync(reservationFolder, { recursive: true });
  const { mtimeMs = Infinity } = statSync(file, { throwIfNoEntry: false }) ?? {};
  if (Date.now() - mtimeMs > reservationMs) rmSync(file, { force: true });
  try {
    writeFileSync(file, '', { flag: 'wx' });
  } catch {
    return false;
  }
  reservedFiles.add(file);
  return true;
};

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
 * Finds a TCP port of loopback that is not in use, and reserves it until this process ends.
 *
 * @returns the port
 */
export const findFreePort = async (): Promise<number> => {
  for (;;) {
    const port = lowestPort + Math.floor(Math.random() * portCount);
    if (reserve(port) && (await isFree(port))) return port;
  }
};
