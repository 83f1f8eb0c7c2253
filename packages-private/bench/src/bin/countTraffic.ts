import { subscribe } from 'node:diagnostics_channel';
import { renameSync, writeFileSync } from 'node:fs';
import type { Socket } from 'node:net';
import { join } from 'node:path';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

// Preloaded into the daemons by the capacity benchmark. On SIGUSR2, writes a file with the bytes
// transferred on
// all TCP sockets by direction and port, the bytes written to the log, and the memory in use.

const folder = process.env.TOUCANLINE_TRAFFIC_FOLDER ?? '';
const openSockets = new Map<Socket, string>();
const closedTotals: Record<string, number> = {};
let samples = 0;

const addToTotals = (name: string, { bytesRead, bytesWritten }: Socket): void => {
  closedTotals[name] = (closedTotals[name] ?? 0) + bytesRead + bytesWritten;
};

const trackSocket = (socket: Socket, name: string): void => {
  openSockets.set(socket, name);
  socket.once('close', () => {
    openSockets.delete(socket);
    addToTotals(name, socket);
  });
};

subscribe('net.client.socket', (message) => {
  const { socket } = message as { readonly socket: Socket };
  socket.once('connect', () => {
    trackSocket(socket, `to ${String(socket.remotePort)}`);
  });
});
subscribe('net.server.socket', (message) => {
  const { socket } = message as { readonly socket: Socket };
  trackSocket(socket, `at ${String(socket.localPort)}`);
});

const sumTraffic = (): Readonly<Record<string, number>> => {
  const sums = { ...closedTotals };
  for (const [{ bytesRead, bytesWritten }, name] of openSockets) {
    sums[name] = (sums[name] ?? 0) + bytesRead + bytesWritten;
  }
  return sums;
};

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

process.on('SIGUSR2', () => {
  const traffic = sumTraffic();
  const { bytesWritten } = process.stdout as unknown as Socket;
  collectGarbage();
  const { heapUsed, external, rss } = process.memoryUsage();
  samples += 1;
  const sample = { samples, traffic, logBytes: bytesWritten, usedBytes: heapUsed + external, rss };
  const file = join(folder, `${process.pid}.json`);
  writeFileSync(`${file}.new`, JSON.stringify(sample));
  renameSync(`${file}.new`, file);
});
