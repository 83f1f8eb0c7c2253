import { connect, createServer, type Server, type Socket } from 'node:net';
import type { CallBody, Frame, Hello, ReplyBody } from '@toucanline/schema';
import { periods } from '@toucanline/core';
import { expect } from 'chai';
import fc from 'fast-check';
import type { Link } from '../src/index.js';
import {
  encodeFrame,
  FrameReader,
  frameLimits,
  LinkDialer,
  LinkHandler,
  LinkListener,
  TurnQueue,
} from '../src/index.js';

const hello: Hello = {
  type: 'hello',
  protocol: 1,
  environment: 'test',
  process: 'p1',
  role: 'scheduler',
  dataCentre: 'dc1',
};
const status: CallBody = { call: 'status' };
const done: ReplyBody = { reply: 'done' };
const checks = { seed: 20_261_204, numRuns: 300 };

const encode = (frame: Frame): Buffer => encodeFrame(frame)._unsafeUnwrap();

const waitUntil = async (
  isTrue: () => boolean,
  timeoutMs: number,
  condition: string,
): Promise<void> => {
  const endsAt = performance.now() + timeoutMs;
  while (!isTrue()) {
    if (performance.now() > endsAt) throw new Error(`not within ${timeoutMs} ms: ${condition}`);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
};

/** Records opened and closed links, and answers each call with the result of a function. */
class RecordingHandler extends LinkHandler {
  public readonly opened: Link[] = [];
  public readonly closed: string[] = [];
  readonly #answer: () => Promise<ReplyBody>;

  public constructor(answer: () => Promise<ReplyBody> = () => Promise.resolve(done)) {
    super();
    this.#answer = answer;
  }

  public override handleOpen(link: Link): void {
    this.opened.push(link);
  }

  public override handleCall(): Promise<ReplyBody> {
    return this.#answer();
  }

  public override handleNotice(): void {
    // No test sends notices.
  }

  public override handleActivity(): void {
    // No test checks the activity of links.
  }

  public override handleClose(_link: Link, detail: string): void {
    this.closed.push(detail);
  }
}

/** Reads all frames from chunks; stops at the first failure. */
const readAll = (chunks: readonly Buffer[]): { frames: Frame[]; failed: boolean } => {
  const reader = new FrameReader();
  const frames: Frame[] = [];
  for (const chunk of chunks) {
    reader.add(chunk);
    for (let next = reader.readNext(); next !== undefined; next = reader.readNext()) {
      if (next.isErr()) return { frames, failed: true };
      frames.push(next.value);
    }
  }
  return { frames, failed: false };
};

const split = (bytes: Buffer, cuts: readonly number[]): readonly Buffer[] => {
  const ends = [...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length];
  const sorted = ends.sort((left, right) => left - right);
  return sorted.map((end, index) => bytes.subarray(sorted[index - 1] ?? 0, end));
};

const frame = fc.oneof(
  fc.constant<Frame>({ type: 'heartbeat' }),
  fc.constant<Frame>(hello),
  fc.nat().map((id): Frame => ({ type: 'call', id: id + 1, body: status })),
  fc.tuple(fc.nat(), fc.string({ maxLength: 4096 })).map(([id, detail]): Frame => ({
    type: 'reply',
    id: id + 1,
    body: { reply: 'failure', failure: { kind: 'internal', detail } },
  })),
);
const frames = fc.array(frame, { minLength: 1, maxLength: 8 });
const cuts = fc.array(fc.nat(), { maxLength: 40 });

describe('the frame reader', () => {
  it('returns the same frames for every split of the bytes', () => {
    const property = fc.property(frames, cuts, (sent, at) => {
      const bytes = Buffer.concat(sent.map(encode));
      expect(readAll(split(bytes, at))).to.deep.equal({ frames: sent, failed: false });
    });
    fc.assert(property, checks);
  });

  it('returns only the complete frames of truncated bytes', () => {
    const property = fc.property(frames, cuts, fc.nat(), (sent, at, cut) => {
      const encoded = sent.map(encode);
      const bytes = Buffer.concat(encoded);
      const truncated = bytes.subarray(0, cut % bytes.length);
      let end = 0;
      const complete = sent.filter(
        (_, index) => (end += encoded[index]?.length ?? 0) <= truncated.length,
      );
      expect(readAll(split(truncated, at))).to.deep.equal({ frames: complete, failed: false });
    });
    fc.assert(property, checks);
  });

  // Guards against a peer that sends single bytes: a list of chunks would cost many times their length.
  it('keeps single bytes of an unfinished frame in a buffer of at most twice their length', () => {
    const reader = new FrameReader();
    reader.add(Buffer.from([0, 0x40, 0, 0]));
    for (let count = 0; count < 50_000; count += 1) reader.add(Buffer.from([1]));
    expect(reader.readNext()).to.equal(undefined);
    expect(reader.bufferedBytes).to.be.within(50_000, 100_008);
  });

  it('refuses an oversized frame as soon as its prefix is complete, and keeps refusing', () => {
    const sizes = fc.integer({ min: frameLimits.maxFrameBytes + 1, max: 0xffff_ffff });
    const property = fc.property(frames, sizes, cuts, (sent, size, at) => {
      const prefix = Buffer.alloc(4);
      prefix.writeUInt32BE(size);
      const bytes = Buffer.concat([...sent.map(encode), prefix]);
      expect(readAll(split(bytes, at))).to.deep.equal({ frames: sent, failed: true });
      const reader = new FrameReader();
      reader.add(prefix);
      expect([reader.readNext()?.isErr(), reader.readNext()?.isErr()]).to.deep.equal([true, true]);
    });
    fc.assert(property, checks);
  });

  it('never throws on arbitrary bytes, and decodes none of them as a frame', () => {
    const property = fc.property(
      fc.uint8Array({ minLength: 1, maxLength: 200 }),
      cuts,
      (body, at) => {
        const arbitrary = Buffer.from(body);
        readAll(split(arbitrary, at));
        const prefix = Buffer.alloc(4);
        prefix.writeUInt32BE(arbitrary.length);
        const result = readAll(split(Buffer.concat([prefix, arbitrary]), at));
        expect(result).to.deep.equal({ frames: [], failed: true });
      },
    );
    fc.assert(property, checks);
  });
});

describe('links on loopback', () => {
  const cleanups: (() => void)[] = [];
  const listen = async (handler: LinkHandler): Promise<string> => {
    const listener = new LinkListener(hello, handler);
    cleanups.push(() => {
      listener.close();
    });
    return listener.listen('127.0.0.1', 0);
  };
  const dial = async (address: string, handler = new RecordingHandler()): Promise<LinkDialer> => {
    const dialer = new LinkDialer(address, hello, handler);
    cleanups.push(() => {
      dialer.stop();
    });
    await waitUntil(() => dialer.link !== undefined, 3000, 'the link opens');
    return dialer;
  };
  const open = async (dialer: LinkDialer): Promise<Link> => {
    await waitUntil(() => dialer.link !== undefined, 3000, 'the link is open');
    if (dialer.link === undefined) throw new Error('no link');
    return dialer.link;
  };
  /** Starts a peer that sends its hello on each connection and then runs the given function. */
  const listenRaw = async (serve: (socket: Socket) => void): Promise<string> => {
    const sockets = new Set<Socket>();
    const server: Server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.write(encode(hello));
      serve(socket);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    cleanups.push(() => {
      for (const socket of sockets) socket.destroy();
      server.close();
    });
    const bound = server.address();
    if (bound === null || typeof bound === 'string') throw new Error('no port');
    return `127.0.0.1:${bound.port}`;
  };

  afterEach(() => {
    for (const cleanUp of cleanups.splice(0)) cleanUp();
  });

  // Guards against a peer with many small frames that holds the event loop while others wait.
  it('handles a few of many small frames in each turn of the event loop, and all of them in order', async () => {
    const count = 1000;
    let handled = 0;
    let maxHandledInTurn = 0;
    let sampler = setImmediate(function sample(): void {
      maxHandledInTurn = Math.max(maxHandledInTurn, handled);
      handled = 0;
      sampler = setImmediate(sample);
    });
    cleanups.push(() => {
      clearImmediate(sampler);
    });
    let nowMs = 0;
    const turns = new TurnQueue(() => (nowMs += 1));
    const handler = new RecordingHandler(() => {
      handled += 1;
      return Promise.resolve(done);
    });
    const listener = new LinkListener(hello, handler, undefined, undefined, turns);
    cleanups.push(() => {
      listener.close();
    });
    const port = Number((await listener.listen('127.0.0.1', 0)).split(':')[1]);
    const peer = connect(port, '127.0.0.1');
    cleanups.push(() => peer.destroy());
    const reader = new FrameReader();
    const repliedIds: number[] = [];
    peer.on('data', (chunk: Buffer) => {
      reader.add(chunk);
      for (let frame = reader.readNext(); frame !== undefined; frame = reader.readNext()) {
        const value = frame._unsafeUnwrap();
        if (value.type === 'reply') repliedIds.push(value.id);
      }
    });
    const ids = Array.from({ length: count }, (_, index) => index + 1);
    const calls = ids.map((id) => encode({ type: 'call', id, body: status }));
    peer.write(Buffer.concat([encode(hello), ...calls]));
    await waitUntil(() => repliedIds.length === count, 5000, 'all calls are answered');
    expect(repliedIds).to.deep.equal(ids);
    // Between two samples are at most two turns of 4 slices of 32 frames, and one slice before the first turn.
    expect(maxHandledInTurn).to.be.within(1, 9 * 32);
  });

  it('closes only the link on which an invalid frame arrived', async () => {
    const handler = new RecordingHandler();
    const address = await listen(handler);
    const validLink = await open(await dial(address));
    const invalidPeer = connect(Number(address.split(':')[1]), '127.0.0.1');
    cleanups.push(() => invalidPeer.destroy());
    let closed = false;
    invalidPeer.on('close', () => (closed = true));
    invalidPeer.resume();
    invalidPeer.write(Buffer.concat([encode(hello), Buffer.from([0, 0, 0, 2, 0xff, 0xff])]));
    await waitUntil(() => closed, 2000, 'the link with the invalid frame is closed');
    expect(handler.closed).to.have.length(1);
    expect(handler.closed[0]).to.match(/^invalid frame/);
    expect(validLink.isClosed).to.equal(false);
    expect((await validLink.call(status, 1000))._unsafeUnwrap()).to.deep.equal(done);
  });

  it('replaces the link to a silent peer within 5 s and fails its calls with an unknown outcome', async () => {
    const address = await listenRaw((socket) => socket.pause());
    const dialer = await dial(address);
    const first = await open(dialer);
    const startedAt = performance.now();
    const calls = [first.call(status, 500), first.call(status, 20_000)];
    await waitUntil(() => dialer.link !== undefined && dialer.link !== first, 5000, 'a new link');
    const kinds = (await Promise.all(calls)).map((each) => each._unsafeUnwrapErr().kind);
    expect(kinds).to.deep.equal(['timeout', 'linkLost']);
    expect(performance.now() - startedAt).to.be.lessThan(5000);
  });

  it('keeps a link whose peer continued to send while this process was paused', async () => {
    // Guards against a process that closes all its links, and fails the calls on them, after it was blocked.
    const handler = new RecordingHandler();
    const link = await open(await dial(await listen(handler)));
    const endsAt = performance.now() + periods.linkTimeoutMs + 500;
    while (performance.now() < endsAt);
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect([link.isClosed, handler.closed]).to.deep.equal([false, []]);
  });

  it('refuses calls to a peer that does not read instead of buffering them', async () => {
    const address = await listenRaw((socket) => {
      socket.pause();
      const heartbeatTimer = setInterval(() => socket.write(encode({ type: 'heartbeat' })), 500);
      socket.on('close', () => {
        clearInterval(heartbeatTimer);
      });
    });
    const link = await open(await dial(address));
    // The call does not reach the validator of the peer, so the identifier may exceed its maximum length.
    const large: CallBody = { call: 'cancel', requestId: 'x'.repeat(1024 * 1024) };
    const calls = Array.from({ length: 100 }, () => link.call(large, 3000));
    const kinds = (await Promise.all(calls)).map((each) => each._unsafeUnwrapErr().kind);
    const sent = kinds.filter((kind) => kind === 'timeout');
    expect(new Set(kinds)).to.deep.equal(new Set(['timeout', 'overloaded']));
    // The limit of the send buffer, one call above it, and the data in the socket buffers of both sides.
    expect(sent.length).to.be.at.most(frameLimits.maxBufferedBytes / (1024 * 1024) + 12);
    expect((await link.call(status, 1000))._unsafeUnwrapErr().kind).to.equal('overloaded');
  });

  it('closes the link to a peer that does not read its replies instead of buffering them', async () => {
    // Guards against a peer that sends calls and never reads: its replies would fill the memory of the process.
    const detail = 'x'.repeat(1024 * 1024);
    const large: ReplyBody = { reply: 'failure', failure: { kind: 'internal', detail } };
    let answered = 0;
    const handler = new RecordingHandler(() => {
      answered += 1;
      return Promise.resolve(large);
    });
    const address = await listen(handler);
    const peer = connect(Number(address.split(':')[1]), '127.0.0.1');
    cleanups.push(() => peer.destroy());
    peer.on('error', () => peer.destroy());
    peer.pause();
    peer.write(encode(hello));
    for (let id = 1; id <= 100; id += 1) peer.write(encode({ type: 'call', id, body: status }));
    await waitUntil(() => handler.closed.length === 1, 3000, 'the link is closed');
    expect(handler.closed).to.deep.equal(['the peer does not read its replies']);
    expect(answered).to.be.at.least(frameLimits.maxBufferedBytes / detail.length);
  });

  it('answers a call whose handler throws, and continues to serve', async () => {
    // Guards against a fault in a handler that leaves the peer without a reply until its timeout.
    let isBroken = true;
    const handler = new RecordingHandler(() =>
      isBroken ? Promise.reject(new Error('broken')) : Promise.resolve(done),
    );
    const link = await open(await dial(await listen(handler)));
    const reply = (await link.call(status, 2000))._unsafeUnwrap();
    expect(reply).to.have.nested.property('failure.kind', 'internal');
    isBroken = false;
    expect((await link.call(status, 2000))._unsafeUnwrap()).to.deep.equal(done);
  });

  it('answers a call whose reply is too large with a failure, and continues to serve', async () => {
    let isLarge = true;
    const detail = 'x'.repeat(frameLimits.maxFrameBytes);
    const large: ReplyBody = { reply: 'failure', failure: { kind: 'internal', detail } };
    const handler = new RecordingHandler(() => Promise.resolve(isLarge ? large : done));
    const link = await open(await dial(await listen(handler)));
    const reply = (await link.call(status, 2000))._unsafeUnwrap();
    expect(reply).to.have.nested.property('failure.kind', 'outcomeUnknown');
    isLarge = false;
    expect((await link.call(status, 2000))._unsafeUnwrap()).to.deep.equal(done);
  });

  it('fails a call that is too large without sending it, and continues to serve', async () => {
    const link = await open(await dial(await listen(new RecordingHandler())));
    const large: CallBody = { call: 'cancel', requestId: 'x'.repeat(frameLimits.maxFrameBytes) };
    const refused = await link.call(large, 1000);
    expect(refused._unsafeUnwrapErr().kind).to.equal('bodyTooLarge');
    expect((await link.call(status, 1000))._unsafeUnwrap()).to.deep.equal(done);
  });
});
