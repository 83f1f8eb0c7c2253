import { spawn } from 'node:child_process';
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { HttpClient } from '../src/HttpClient.js';

describe('the HTTP client', () => {
  // Guards against an unhandled rejection during a graceful shutdown while a watch is pending.
  it('fails a pending request when it is closed, without an unhandled rejection', async () => {
    const server = createServer((socket) => socket.on('error', () => socket.destroy()));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const rejections: unknown[] = [];
    const recordRejection = (reason: unknown): void => {
      rejections.push(reason);
    };
    process.on('unhandledRejection', recordRejection);
    const client = new HttpClient();
    const pending = client.send('GET', `http://127.0.0.1:${port}/`, undefined, 10_000);
    await new Promise((resolve) => setTimeout(resolve, 100));
    await client.close();
    expect((await pending)._unsafeUnwrapErr().kind).to.equal('timeout');
    await new Promise((resolve) => setTimeout(resolve, 20));
    process.off('unhandledRejection', recordRejection);
    server.close();
    expect(rejections).to.deep.equal([]);
  });

  // Guards against a request that exceeds its timeout while a connection cannot be established. A network partition
  // drops packets, so an attempt to connect takes 7 s: in the scenario klsu trouble-1, hosts in a partitioned zone
  // answered no calls, because their calls to the store waited for connections beyond their timeout.
  it('keeps the timeout of a request while a connection cannot be established', async () => {
    const listener = spawn(process.execPath, ['-e', unresponsiveListener], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const port = await new Promise<number>((resolve) => {
      listener.stdout.once('data', (text: Buffer) => {
        resolve(Number(text.toString()));
      });
    });
    // The accept queue is full after a few connections; the packets of further connections are dropped.
    const sockets = [...Array(4).keys()].map(() => connect(port, '127.0.0.1'));
    for (const socket of sockets) socket.on('error', () => socket.destroy());
    await new Promise((resolve) => setTimeout(resolve, 100));
    const client = new HttpClient();
    const startedAt = performance.now();
    const outcome = await client.send('GET', `http://127.0.0.1:${port}/`, undefined, 200);
    const durationMs = performance.now() - startedAt;
    for (const socket of sockets) socket.destroy();
    listener.kill('SIGKILL');
    await client.close();
    expect(outcome.isErr()).to.equal(true);
    expect(durationMs).to.be.below(600);
  });

  // Guards against a large response that is given up while it arrives over a slow link, and against one that is waited
  // for although nothing arrives any more.
  it('restarts the timeout with each received part of a response, if asked to', async () => {
    const parts = ['{"text":"', 'a'.repeat(8), 'b'.repeat(8), 'c'.repeat(8), '"}'];
    const server = createHttpServer((request, response) => {
      response.writeHead(200, { 'content-type': 'application/json' });
      const stopsAfter = request.url === '/stalled' ? 2 : parts.length;
      for (const [index, part] of parts.entries()) {
        setTimeout(() => {
          if (index < stopsAfter) response.write(part);
          if (index === parts.length - 1 && stopsAfter === parts.length) response.end();
        }, index * 100);
      }
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const client = new HttpClient();
    const send = (path: string, isTimeoutPerChunk: boolean): ReturnType<HttpClient['send']> =>
      client.send('GET', `http://127.0.0.1:${port}/${path}`, undefined, 250, { isTimeoutPerChunk });
    expect((await send('whole', true))._unsafeUnwrap().body).to.have.property('text');
    expect((await send('stalled', true)).isErr()).to.equal(true);
    expect((await send('whole', false)).isErr()).to.equal(true);
    await client.close();
    server.closeAllConnections();
    server.close();
  });
});

/** Script that listens with the shortest accept queue and accepts no connection, because its only thread sleeps. */
const unresponsiveListener = `
  const server = require('node:net').createServer();
  server.listen(0, '127.0.0.1', 0, () => {
    process.stdout.write(String(server.address().port), () => {
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20_000);
    });
  });
`;
