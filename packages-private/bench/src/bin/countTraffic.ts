import { subscribe } from 'node:diagnostics_channel';
import { renameSync, writeFileSync } from 'node:fs';
import type { Socket } from 'node:net';
import { join } from 'node:path';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

// Preloaded into the daemons by the capacity benchmark. On SIGUSR2 it writes the bytes of all TCP sockets
// by role and port, the bytes of the log and the memory in use to a file.

const folder = process.env.TOUCANLINE_TRAFFIC_FOLDER ?? '';
const open = new Map<Socket, string>();
const totals: Record<string, number> = {};
let samples = 0;

const add = (name: string, { bytesRead, bytesWritten }: Socket): void => {
  totals[name] = (totals[name] ?? 0) + bytesRead + bytesWritten;
};

const follow = (socket: Socket, name: string): void => {
  open.set(socket, name);
  socket.once('close', () => {
    open.delete(socket);
    add(name, socket);
  });
};

subscribe('net.client.socket', (message) => {
  const { socket } = message as { readonly socket: Socket };
  socket.once('connect', () => {
    follow(socket, `to ${String(socket.remotePort)}`);
  });
});
subscribe('net.server.socket', (message) => {
  const { socket } = message as { readonly socket: Socket };
  follow(socket, `at ${String(socket.localPort)}`);
});

const sumTraffic = (): Readonly<Record<string, number>> => {
  const sums = { ...totals };
  for (const [{ bytesRead, bytesWritten }, name] of open) {
    sums[name] = (sums[name] ?? 0) + bytesRead + bytesWritten;
  }
  return sums;
};

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

process.on('SIGUSR2', () => {
  const traffic = sumTraffic();
  const { bytesWritten } = process.stdout as unknown as Socket;
  collect();
  const { heapUsed, external, rss } = process.memoryUsage();
  samples += 1;
  const sample = { samples, traffic, logBytes: bytesWritten, usedBytes: heapUsed + external, rss };
  const file = join(folder, `${process.pid}.json`);
  writeFileSync(`${file}.new`, JSON.stringify(sample));
  renameSync(`${file}.new`, file);
});
