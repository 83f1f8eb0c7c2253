import { spawn } from 'node:child_process';
import { connect, createServer, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { HttpClient } from '../src/HttpClient.js';

describe('an HTTP exchange', () => {
  // Guards against a graceful shutdown that ends with an unhandled rejection, while a watch is pending.
  it('fails what is pending when it is closed, and nothing else', async () => {
    const silent = createServer((socket) => socket.on('error', () => socket.destroy()));
    await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve));
    const { port } = silent.address() as AddressInfo;
    const rejections: unknown[] = [];
    const note = (reason: unknown): void => {
      rejections.push(reason);
    };
    process.on('unhandledRejection', note);
    const exchange = new HttpClient();
    const pending = exchange.send('GET', `http://127.0.0.1:${port}/`, undefined, 10_000);
    await new Promise((resolve) => setTimeout(resolve, 100));
    await exchange.close();
    expect((await pending)._unsafeUnwrapErr().kind).to.equal('timeout');
    await new Promise((resolve) => setTimeout(resolve, 20));
    process.off('unhandledRejection', note);
    silent.close();
    expect(rejections).to.deep.equal([]);
  });

  // Pattern: a partition drops packets, so connecting takes 7 s (klsu trouble-1: hosts in a cut zone answered nobody, since
  // their calls to the store waited for connections beyond their bound).
  it('keeps its bound while a connection cannot be made', async () => {
    const listener = spawn(process.execPath, ['-e', unresponsiveListener], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const port = await new Promise<number>((resolve) => {
      listener.stdout.once('data', (text: Buffer) => {
        resolve(Number(text.toString()));
      });
    });
    // The queue of connections is full after a few; the packets of further ones are dropped.
    const filling = [...Array(4).keys()].map(() => connect(port, '127.0.0.1'));
    for (const socket of filling) socket.on('error', () => socket.destroy());
    await new Promise((resolve) => setTimeout(resolve, 100));
    const exchange = new HttpClient();
    const startedAt = performance.now();
    const outcome = await exchange.send('GET', `http://127.0.0.1:${port}/`, undefined, 200);
    const durationMs = performance.now() - startedAt;
    for (const socket of filling) socket.destroy();
    listener.kill('SIGKILL');
    await exchange.close();
    expect(outcome.isErr()).to.equal(true);
    expect(durationMs).to.be.below(600);
  });
});

/** Listens with the shortest queue and accepts nothing: its only thread sleeps. */
const unresponsiveListener = `
  const server = require('node:net').createServer();
  server.listen(0, '127.0.0.1', 0, () => {
    process.stdout.write(String(server.address().port), () => {
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20_000);
    });
  });
`;
