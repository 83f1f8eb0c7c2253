import { createServer, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import restana from 'restana';
import { startHttpService } from '../src/index.js';

describe('an HTTP service', () => {
  // Guards against a process that ends with the stack of an unhandled event, or that waits for ever, because another
  // process has its port.
  it('rejects its start if its port is in use', async () => {
    const other = createServer();
    await new Promise<void>((resolve) => other.listen(0, '127.0.0.1', resolve));
    const { port } = other.address() as AddressInfo;
    const error: unknown = await startHttpService(restana(), port, '127.0.0.1').then(
      () => undefined,
      (reason: unknown) => reason,
    );
    other.close();
    expect(error).to.be.an.instanceOf(Error).with.property('code', 'EADDRINUSE');
  });
});
