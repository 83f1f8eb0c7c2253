import { connect, type AddressInfo, type Socket } from 'node:net';
import type { IncomingMessage, Server } from 'node:http';
import { expect } from 'chai';
import { computeConnectionBudgets, ConnectionGuard, RefusalReporter } from '../src/index.js';
import { findSliceEnd } from '../src/findSliceEnd.js';
import { readBody } from '../src/readBody.js';

class RecordingReporter extends RefusalReporter {
  public readonly counted: string[] = [];
  public readonly written: string[] = [];

  protected override count(port: string, reason: string): void {
    this.counted.push(`${port} ${reason}`);
  }

  protected override write(port: string, reason: string, connections: number): void {
    this.written.push(`${port} ${reason} ${connections}`);
  }
}

describe('the budgets of connections', () => {
  // Guards against defaults that refuse callers inside the figures of docs/hard-load.md.
  it('admit 2,000 connections, 64 probers and 64 bodies of 256 KiB on the smallest machine', () => {
    const budgets = computeConnectionBudgets({ memoryMb: 210, maxDescriptors: 4100 });
    expect(budgets.maxCallerConnections).to.be.at.least(2000);
    expect(budgets.maxCallerBytes).to.be.at.least(64 * (262_144 + 8192));
    const { maxServiceConnections } = computeConnectionBudgets({ maxDescriptors: 2212 });
    expect(maxServiceConnections).to.be.at.least(64);
  });

  it('stay below the descriptors that are not reserved', () => {
    for (const maxDescriptors of [1, 400, 600, 2212, 10_250]) {
      const budgets = computeConnectionBudgets({ memoryMb: 602, maxDescriptors });
      const { maxCallerConnections, maxServiceConnections, links } = budgets;
      const sum = maxCallerConnections + 2 * maxServiceConnections + links.maxLinks;
      expect(sum).to.be.below(Math.max(400, maxDescriptors) - 200 + 128);
    }
  });
});

describe('the slices of received bytes', () => {
  // Guards against a buffer of pipelined requests that are all parsed at once.
  it('contain at most a few requests', () => {
    const request = 'GET /ready HTTP/1.1\r\nhost: a\r\n\r\n';
    expect(findSliceEnd(Buffer.from(request.repeat(2000)))).to.be.at.most(3 * request.length);
    expect(findSliceEnd(Buffer.alloc(65_536))).to.equal(4096);
    expect(findSliceEnd(Buffer.from('GET'))).to.equal(3);
  });
});

describe('a guarded HTTP server', () => {
  const reporter = new RecordingReporter();
  let server: Server;
  let sockets: Socket[];
  let late: IncomingMessage | undefined;

  beforeEach(async () => {
    sockets = [];
    const budgets = {
      ...computeConnectionBudgets(),
      maxCallerConnections: 3,
      maxCallerBytes: 65_536,
    };
    server = new ConnectionGuard(budgets, reporter).createServer('callers', 'callers');
    server.on('request', (request, response) => {
      if (request.url === '/late') {
        late = request;
        return;
      }
      void readBody(request, 262_144).then((body) => {
        if (request.url !== '/wait') response.end(body.isOk() ? 'read' : body.error.kind);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  });
  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  /** Opens a connection, sends a text and returns what is received until it is closed or something arrives. */
  const send = (text: string): Promise<string> => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    sockets.push(socket);
    socket.write(text);
    return new Promise((resolve) => {
      socket.once('data', (bytes: Buffer) => {
        resolve(bytes.toString());
      });
      socket.on('error', () => undefined);
      socket.once('close', () => {
        resolve('closed');
      });
    });
  };
  const unfinished = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n123';
  const waiting = 'GET /wait HTTP/1.1\r\nhost: a\r\n\r\n';
  const complete = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
  const pause = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 50));

  // Guards against callers that are refused, or lose a request that was accepted, because of unfinished requests.
  it('closes the oldest unfinished request, and no connection that waits for a response', async () => {
    let isAnswered = false;
    void send(waiting).then(() => (isAnswered = true));
    await pause();
    const oldest = send(unfinished);
    await pause();
    void send(unfinished);
    await pause();
    expect(await send(complete)).to.contain('read');
    expect(await oldest).to.equal('closed');
    expect(isAnswered).to.equal(false);
  });

  it('refuses a connection if all others wait for responses, and logs it once', async () => {
    reporter.written.length = 0;
    for (let count = 0; count < 3; count += 1) void send(waiting);
    await pause();
    expect(await send(complete)).to.equal('closed');
    expect(await send(complete)).to.equal('closed');
    expect(reporter.counted.filter((name) => name === 'callers connections').length).to.be.at.least(
      2,
    );
    expect(reporter.written.length).to.be.at.most(1);
  });

  // Guards against bodies that together exceed the memory although each is inside its limit.
  it('closes an unfinished body that needs more than the budget of bytes', async () => {
    const large = `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n${'x'.repeat(100_000)}`;
    expect(await send(large)).to.equal('closed');
    expect(reporter.counted).to.include('callers receivedBytes');
  });

  it('answers every pipelined request of a caller that reads', async () => {
    let text = '';
    await new Promise<void>((resolve) => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
      sockets.push(socket);
      socket.on('data', (bytes: Buffer) => {
        text += bytes.toString();
        if (text.split('HTTP/1.1 200').length > 1000) resolve();
      });
      socket.write(complete.repeat(1000));
    });
    expect(text.split('HTTP/1.1 200')).to.have.length(1001);
  });

  // Guards against the objects of chunks that pile up while nobody reads them, 300 bytes for each byte of the body.
  it('parses a body in small chunks only as fast as it is read, and completely', async () => {
    const chunks = 8000;
    const head = 'POST /late HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
    void send(`${head}${'1\r\nx\r\n'.repeat(chunks)}0\r\n\r\n`);
    await pause();
    expect(late?.readableLength).to.be.within(1, 200);
    let length = 0;
    await new Promise<void>((resolve) => {
      late?.on('data', (chunk: Buffer) => (length += chunk.length));
      late?.on('end', resolve);
    });
    expect(length).to.equal(chunks);
  });
});
