import type { Socket } from 'node:net';
import { createFailure, periods } from '@toucanline/core';
import type { CallBody, Failure, Frame, Hello, NoticeBody, ReplyBody } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { encodeFrame } from './encodeFrame.js';
import { encodeNotice } from './encodeNotice.js';
import { frameLimits } from './frameLimits.js';
import { FrameReader } from './FrameReader.js';
import type { LinkHandler } from './LinkHandler.js';
import type { TurnQueue } from './TurnQueue.js';
import { TurnTask } from './TurnTask.js';

/** A heartbeat is skipped if another frame was sent within this time before it, in milliseconds. */
const heartbeatSkipMs = periods.linkHeartbeatMs / 2;
/** Frames that are handled in one slice: 64 KiB hold up to 16,000 frames, which would hold the event loop. */
const sliceFrames = 32;

/**
 * Calculates the time until the next heartbeat, in milliseconds. The heartbeats of all links and processes are due at
 * the same wall-clock times, so that they wake a process once and not once for each peer. These wake-ups are
 * most of the cost of an idle link.
 */
const calculateHeartbeatDelay = (): number =>
  periods.linkHeartbeatMs - (Date.now() % periods.linkHeartbeatMs);

/** Call that waits for its reply. */
interface PendingCall {
  readonly resolve: (result: Result<ReplyBody, Failure>) => void;
  readonly timer: NodeJS.Timeout;
}

/** Connection between two processes, which carries calls, replies, notices and heartbeats. */
export class Link extends TurnTask {
  readonly #socket: Socket;
  readonly #handler: LinkHandler;
  readonly #turns: TurnQueue | undefined;
  readonly #reader = new FrameReader();
  readonly #pendingCalls = new Map<number, PendingCall>();
  #heartbeatTimer: NodeJS.Timeout;
  #peer: Hello | undefined;
  #nextCallId = 1;
  #lastReceivedAt = performance.now();
  #lastSentAt = performance.now();
  #isClosed = false;
  /** Whether reading stopped because received frames wait for their turn. */
  #isPaused = false;

  /**
   * @param socket - connected socket
   * @param hello - hello frame of this process
   * @param handler - handles the messages of the peer
   * @param turns - shares the time of the event loop between links that others opened; undefined for a link that this
   * process opened, whose frames are handled at once
   */
  public constructor(socket: Socket, hello: Hello, handler: LinkHandler, turns?: TurnQueue) {
    super();
    this.#socket = socket;
    this.#turns = turns;
    this.#handler = handler;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.#receive(chunk);
    });
    socket.on('error', (error) => {
      this.close(error.message);
    });
    socket.on('close', () => {
      this.close('the peer closed the connection');
    });
    this.#heartbeatTimer = this.#scheduleHeartbeat();
    this.#send(hello);
  }

  /** Hello frame of the peer; undefined until it was received. */
  public get peer(): Hello | undefined {
    return this.#peer;
  }

  /** Bytes of memory that unfinished frames of the peer occupy. */
  public get bufferedBytes(): number {
    return this.#reader.bufferedBytes;
  }

  /** Whether the link is closed. */
  public get isClosed(): boolean {
    return this.#isClosed;
  }

  /**
   * Calls the peer.
   *
   * @param body - the call
   * @param timeoutMs - longest wait for the reply, in milliseconds
   * @returns the reply; `noOwner`, `overloaded` or `bodyTooLarge` if the call was not sent; `timeout` or `linkLost` if
   * its outcome is unknown
   */
  public call(body: CallBody, timeoutMs: number): Promise<Result<ReplyBody, Failure>> {
    if (this.#isClosed) return Promise.resolve(err(createFailure('noOwner', 'the link is closed')));
    if (this.#isSendBufferFull) {
      return Promise.resolve(
        err(createFailure('overloaded', 'the peer does not read its calls', 1)),
      );
    }
    const id = this.#nextCallId;
    this.#nextCallId += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#resolveCall(id, err(createFailure('timeout', `no reply within ${timeoutMs} ms`)));
      }, timeoutMs);
      this.#pendingCalls.set(id, { resolve, timer });
      const failure = this.#send({ type: 'call', id, body });
      if (failure !== undefined) this.#resolveCall(id, err(failure));
    });
  }

  /**
   * Sends a notice. It is dropped if the send buffer is full, because a newer notice will follow.
   *
   * @param body - the notice
   * @returns false if the notice was dropped
   */
  public notify(body: NoticeBody): boolean {
    if (this.#isClosed || this.#isSendBufferFull) return false;
    const encoded = encodeNotice(body);
    if (encoded.isErr()) return false;
    this.#write(encoded.value);
    return true;
  }

  /**
   * Closes the link. Calls without a reply fail with `linkLost`.
   *
   * @param detail - reason for closing
   */
  public close(detail: string): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearTimeout(this.#heartbeatTimer);
    this.#turns?.remove(this);
    this.#socket.destroy();
    for (const id of [...this.#pendingCalls.keys()]) {
      this.#resolveCall(id, err(createFailure('linkLost', detail)));
    }
    this.#handler.handleClose(this, detail);
  }

  /** {@inheritDoc TurnTask.runSlice} */
  public override runSlice(): boolean {
    for (let count = 0; count < sliceFrames && !this.#isClosed; count += 1) {
      const frame = this.#reader.readNext();
      if (frame === undefined) {
        this.#resume();
        return false;
      }
      if (frame.isOk()) this.#handleFrame(frame.value);
      else this.close(`invalid frame: ${frame.error.detail}`);
    }
    // Frames that waited for their turn are as recent as this process could read them.
    this.#lastReceivedAt = performance.now();
    return !this.#isClosed;
  }

  /** Whether the peer reads so slowly that no further message may be buffered for it. */
  get #isSendBufferFull(): boolean {
    return this.#socket.writableLength > frameLimits.maxBufferedBytes;
  }

  /** Sends a frame; returns `bodyTooLarge` if the frame is too large to be sent. */
  #send(frame: Frame): Failure | undefined {
    if (this.#isClosed) return undefined;
    const encoded = encodeFrame(frame);
    if (encoded.isErr()) return encoded.error;
    this.#write(encoded.value);
    return undefined;
  }

  #write(bytes: Buffer): void {
    this.#lastSentAt = performance.now();
    this.#socket.write(bytes);
  }

  #scheduleHeartbeat(): NodeJS.Timeout {
    return setTimeout(() => {
      this.#sendHeartbeat();
    }, calculateHeartbeatDelay());
  }

  /** Sends a heartbeat unless another frame was sent recently. */
  #sendHeartbeat(): void {
    const isRecent = performance.now() - this.#lastSentAt < heartbeatSkipMs;
    if (!isRecent && !this.#isSendBufferFull) this.#send({ type: 'heartbeat' });
    this.#heartbeatTimer = this.#scheduleHeartbeat();
    // The event loop reads sockets between timers and immediates: after a pause of this process, frames that arrived
    // during the pause are handled before the peer can count as silent.
    setImmediate(() => {
      this.#checkTimeout();
    });
  }

  #checkTimeout(): void {
    const silenceMs = performance.now() - this.#lastReceivedAt;
    if (silenceMs > periods.linkTimeoutMs) this.close(`no frame for ${Math.round(silenceMs)} ms`);
  }

  #receive(chunk: Buffer): void {
    this.#lastReceivedAt = performance.now();
    this.#reader.add(chunk);
    if (this.#peer !== undefined) this.#handler.handleActivity(this);
    // A hello is not delayed: until it is handled, the peer has a small budget of bytes and time.
    const isWaiting = this.#isPaused || this.runSlice();
    if (!isWaiting) return;
    if (this.#turns === undefined) {
      while (this.runSlice());
      return;
    }
    this.#isPaused = true;
    this.#socket.pause();
    this.#turns.add(this);
  }

  #resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#socket.resume();
  }

  #handleFrame(frame: Frame): void {
    if (frame.type === 'hello') {
      this.#peer = frame;
      this.#handler.handleOpen(this, frame);
    } else if (this.#peer === undefined) this.close('the peer sent a message before its hello');
    else if (frame.type === 'call') void this.#handleCall(frame.id, frame.body);
    else if (frame.type === 'reply') this.#resolveCall(frame.id, ok(frame.body));
    else if (frame.type === 'notice') this.#handler.handleNotice(this, frame.body);
  }

  async #handleCall(id: number, body: CallBody): Promise<void> {
    const reply = await this.#executeCall(body);
    // A reply must not be dropped silently: once the link is closed, the peer calls again on a new link.
    if (this.#isSendBufferFull) {
      this.close('the peer does not read its replies');
      return;
    }
    const failure = this.#send({ type: 'reply', id, body: reply });
    if (failure === undefined) return;
    // The call was executed, so the failure kind must not say that it was not.
    const replacement = createFailure('outcomeUnknown', `reply not sent: ${failure.detail}`);
    this.#send({ type: 'reply', id, body: { reply: 'failure', failure: replacement } });
  }

  /** Executes a call. A handler that throws may have executed it in part, so the reply has the kind `internal`. */
  async #executeCall(body: CallBody): Promise<ReplyBody> {
    try {
      return await this.#handler.handleCall(this, body);
    } catch (error) {
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      return { reply: 'failure', failure: createFailure('internal', detail) };
    }
  }

  #resolveCall(id: number, result: Result<ReplyBody, Failure>): void {
    const pending = this.#pendingCalls.get(id);
    if (pending === undefined) return;
    this.#pendingCalls.delete(id);
    clearTimeout(pending.timer);
    pending.resolve(result);
  }
}
