import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { RefusalReason } from '@toucanline/schema';
import { TurnTask } from '@toucanline/wire';
import { findSliceEnd } from './findSliceEnd.js';
import type { PortContext } from './PortContext.js';

/** Bytes that a request and its response are counted with, besides the body: their objects and headers. */
const requestBytes = 8192;
/** Received bytes that may wait to be parsed. Node.js reads 64 KiB at a time and reads on only in exceptional cases. */
const maxHeldBytes = 262_144;
/**
 * Bytes that are parsed at once while no body is being read. The chunks of a body that is not read yet are stored as
 * objects of some hundred bytes each, whatever they carry: 64 KiB of one-byte chunks would become 11,000 objects.
 */
const unreadBodyBytes = 1024;

/** A request without a response, and the bytes that it is counted with. */
interface OpenRequest {
  readonly response: ServerResponse;
  readonly bytes: number;
}

/**
 * An HTTP connection within the budgets of its port. Received bytes pass through it to the parser of Node.js, so that
 * requests are counted, and reading stops, before further requests are created. They are parsed in slices, by turns
 * with those of the other connections: the time for parsing depends on the number of chunks and not on their size.
 */
export class GuardedConnection extends TurnTask {
  static readonly #connections = new WeakMap<Socket, GuardedConnection>();
  /** IP address of the peer. */
  public readonly address: string;
  readonly #socket: Socket;
  readonly #parse: (bytes: Buffer) => void;
  readonly #port: PortContext;
  readonly #requests = new Map<IncomingMessage, OpenRequest>();
  #latestRequest: IncomingMessage | undefined;
  /** Received bytes that are not parsed yet. */
  #heldBytes: Buffer | undefined;
  /** Bytes with which `#heldBytes` is counted. */
  #countedBytes = 0;
  #isPaused = false;
  /** Whether bytes of a head arrived that is not complete yet; true for a connection without any request. */
  #hasPartialHead = true;
  /** Time since which the peer takes none of its responses. */
  #unreadSince: number | undefined;

  /**
   * @param socket - the connection
   * @param parse - passes bytes to the HTTP parser
   * @param port - budgets and counters of the port
   */
  public constructor(socket: Socket, parse: (bytes: Buffer) => void, port: PortContext) {
    super();
    this.#socket = socket;
    this.#parse = parse;
    this.#port = port;
    this.address = socket.remoteAddress ?? '';
    GuardedConnection.#connections.set(socket, this);
    // Node.js resumes the socket whenever a part of a body is read, also while received bytes wait to be parsed.
    const resume = socket.resume.bind(socket);
    socket.resume = () => (this.#isPaused ? socket : resume());
    socket.on('data', (chunk: Buffer) => {
      this.#guard(() => {
        this.#receive(chunk);
      });
    });
    socket.on('close', () => {
      this.#release();
    });
  }

  /**
   * Finds the accounting of a connection.
   *
   * @param socket - the connection
   * @returns its accounting; undefined if its port is not guarded
   */
  public static find(socket: Socket): GuardedConnection | undefined {
    return GuardedConnection.#connections.get(socket);
  }

  /**
   * Rank in which the connection is closed in favour of others: 0 with an unfinished request, 1 if idle, 2 if its peer
   * does not read its responses. Undefined if it must not be closed, because it waits for a response.
   */
  public get evictionRank(): 0 | 1 | 2 | undefined {
    if (this.#acceptedCount > 0) return this.#isUnread ? 2 : undefined;
    return this.#requests.size > 0 || this.#hasPartialHead ? 0 : 1;
  }

  /**
   * Counts a request whose head is complete.
   *
   * @param request - the request
   * @param response - its response
   */
  public addRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#guard(() => {
      if (this.#socket.destroyed) return;
      const { bytes, connections } = this.#port;
      this.#hasPartialHead = false;
      this.#latestRequest = request;
      connections.touch(this);
      // One slice may hold a few requests. Closing the connection for the later ones would lose the earlier ones.
      if (this.#requests.size > 0) bytes.add(this, requestBytes);
      else if (!bytes.reserve(this, requestBytes)) {
        this.refuse('receivedBytes');
        return;
      }
      this.#requests.set(request, { response, bytes: requestBytes });
      request.on('resume', () => {
        this.#continue();
      });
      response.once('close', () => {
        this.#guard(() => {
          this.#removeRequest(request);
        });
      });
    });
  }

  /**
   * Counts bytes of a body before they are stored.
   *
   * @param request - request with the body
   * @param amount - number of bytes
   * @returns false if the budget is used up by requests that are being answered, or the connection was closed
   */
  public reserveBody(request: IncomingMessage, amount: number): boolean {
    const known = this.#requests.get(request);
    if (known === undefined || !this.#port.bytes.reserve(this, amount)) return false;
    this.#requests.set(request, { ...known, bytes: known.bytes + amount });
    return true;
  }

  /**
   * Closes the connection once a request is answered, because the rest of its body is not read.
   *
   * @param request - the request
   * @param reason - reason that is reported
   */
  public closeAfter(request: IncomingMessage, reason: RefusalReason): void {
    this.#port.report(reason);
    const response = this.#requests.get(request)?.response;
    if (response !== undefined) response.shouldKeepAlive = false;
  }

  /**
   * Closes the connection at once.
   *
   * @param reason - reason that is reported
   */
  public refuse(reason: RefusalReason): void {
    if (this.#socket.destroyed) return;
    this.#port.report(reason);
    this.#release();
    this.#socket.destroy();
  }

  /** Closes the connection if its peer has not taken any response for too long. */
  public checkResponseTime(): void {
    this.#guard(() => {
      const now = performance.now();
      if (!this.#isUnread) this.#unreadSince = undefined;
      else if (this.#unreadSince === undefined) this.#unreadSince = now;
      else if (now - this.#unreadSince > this.#port.budgets.requestMs) this.refuse('responseTime');
    });
  }

  /** {@inheritDoc TurnTask.runSlice} */
  public override runSlice(): boolean {
    let isContinued = false;
    this.#guard(() => {
      isContinued = this.#parseSlice();
    });
    return isContinued;
  }

  /** Number of complete requests without a response. */
  get #acceptedCount(): number {
    const isIncomplete =
      this.#latestRequest?.complete === false && this.#requests.has(this.#latestRequest);
    return this.#requests.size - (isIncomplete ? 1 : 0);
  }

  get #isUnread(): boolean {
    if (this.#socket.writableLength === 0) return false;
    return [...this.#requests.values()].every(({ response }) => response.writableEnded);
  }

  get #mustWait(): boolean {
    const { bytes, budgets } = this.#port;
    const count = this.#acceptedCount;
    return (
      this.#hasUnreadBody ||
      count >= budgets.maxPipelinedRequests ||
      (count > 0 && bytes.isHalfUsed)
    );
  }

  /** Whether the latest request has parts of its body that nobody reads yet. */
  get #hasUnreadBody(): boolean {
    const request = this.#latestRequest;
    if (request === undefined || request.complete || !this.#requests.has(request)) return false;
    return request.readableFlowing !== true && request.readableLength > 0;
  }

  #receive(chunk: Buffer): void {
    const held = this.#heldBytes;
    if ((held?.length ?? 0) + chunk.length > maxHeldBytes) {
      this.refuse('pipelining');
      return;
    }
    this.#heldBytes = held === undefined ? chunk : Buffer.concat([held, chunk]);
    this.#port.turns.add(this);
    this.#hold();
  }

  /** Stops reading, and counts the bytes that could not be parsed at once. */
  #hold(): void {
    if (this.#heldBytes === undefined || this.#socket.destroyed) return;
    if (!this.#isPaused) {
      this.#isPaused = true;
      this.#socket.pause();
    }
    const amount = this.#heldBytes.length - this.#countedBytes;
    if (amount <= 0) return;
    const { bytes } = this.#port;
    if (!bytes.reserve(this, amount)) {
      // A connection that waits for a response must not be closed.
      if (this.evictionRank !== undefined) {
        this.refuse('receivedBytes');
        return;
      }
      bytes.add(this, amount);
    }
    this.#countedBytes += amount;
  }

  /**
   * Parses a slice of the held bytes, unless too many requests wait for their responses or a body is not read.
   *
   * @returns whether another slice can be parsed
   */
  #parseSlice(): boolean {
    const held = this.#heldBytes;
    if (held === undefined || this.#socket.destroyed || this.#mustWait) return false;
    const request = this.#latestRequest;
    const isBodyRead = request?.complete === false && request.readableFlowing === true;
    const end = findSliceEnd(isBodyRead ? held : held.subarray(0, unreadBodyBytes));
    this.#heldBytes = end < held.length ? held.subarray(end) : undefined;
    if (this.#requests.size === 0) this.#hasPartialHead = true;
    this.#parse(held.subarray(0, end));
    if (this.#heldBytes === undefined) this.#resume();
    return this.#heldBytes !== undefined;
  }

  /** Reads on, after all held bytes were parsed. */
  #resume(): void {
    if (!this.#isPaused) return;
    this.#port.bytes.release(this, this.#countedBytes);
    this.#countedBytes = 0;
    this.#isPaused = false;
    this.#socket.resume();
  }

  /** Parses held bytes that had to wait for a response or for the reader of a body. */
  #continue(): void {
    if (this.#heldBytes !== undefined) this.#port.turns.add(this);
  }

  #removeRequest(request: IncomingMessage): void {
    const known = this.#requests.get(request);
    if (known === undefined) return;
    this.#requests.delete(request);
    this.#unreadSince = undefined;
    this.#port.bytes.release(this, known.bytes);
    if (this.#requests.size === 0) this.#port.connections.touch(this);
    this.#continue();
  }

  #release(): void {
    this.#requests.clear();
    this.#heldBytes = undefined;
    this.#countedBytes = 0;
    this.#port.turns.remove(this);
    this.#port.bytes.release(this);
    this.#port.connections.release(this);
  }

  /** Runs a part of the accounting. An error in it closes this connection and must not end the process. */
  #guard(run: () => void): void {
    try {
      run();
    } catch {
      this.refuse('accountingFailed');
    }
  }
}
