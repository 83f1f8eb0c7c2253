import { createServer, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { HttpExchange } from '../src/HttpExchange.js';

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
    const exchange = new HttpExchange();
    const pending = exchange.send('GET', `http://127.0.0.1:${port}/`, undefined, 10_000);
    await new Promise((resolve) => setTimeout(resolve, 100));
    await exchange.close();
    expect((await pending)._unsafeUnwrapErr().kind).to.equal('timeout');
    await new Promise((resolve) => setTimeout(resolve, 20));
    process.off('unhandledRejection', note);
    silent.close();
    expect(rejections).to.deep.equal([]);
  });
});
