import { connect } from 'node:net';
import { periods } from '@toucanline/core';
import type { CallBody, Hello, NoticeBody, ReplyBody } from '@toucanline/schema';
import { Link } from './Link.js';
import { LinkHandler } from './LinkHandler.js';

/** Keeps one link to an address open, and reconnects after an exponential delay with jitter. */
export class LinkDialer extends LinkHandler {
  readonly #address: string;
  readonly #hello: Hello;
  readonly #handler: LinkHandler;
  #link: Link | undefined;
  #isOpen = false;
  #retryDelayMs: number = periods.firstRetryDelayMs;
  #retryTimer: NodeJS.Timeout | undefined;
  #isStopped = false;

  /**
   * @param address - IP address and port of the peer, separated by a colon
   * @param hello - hello frame of this process
   * @param handler - handles the messages of the peer
   */
  public constructor(address: string, hello: Hello, handler: LinkHandler) {
    super();
    this.#address = address;
    this.#hello = hello;
    this.#handler = handler;
    this.#dial();
  }

  /** The open link, if any. */
  public get link(): Link | undefined {
    return this.#isOpen ? this.#link : undefined;
  }

  /** IP address and port of the peer. */
  public get address(): string {
    return this.#address;
  }

  /** Closes the link and stops reconnecting. */
  public stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#retryTimer);
    this.#link?.close('this process is shutting down');
  }

  /** {@inheritDoc LinkHandler.handleOpen} */
  public override handleOpen(link: Link, hello: Hello): void {
    this.#isOpen = true;
    this.#retryDelayMs = periods.firstRetryDelayMs;
    this.#handler.handleOpen(link, hello);
  }

  /** {@inheritDoc LinkHandler.handleCall} */
  public override handleCall(link: Link, body: CallBody): Promise<ReplyBody> {
    return this.#handler.handleCall(link, body);
  }

  /** {@inheritDoc LinkHandler.handleNotice} */
  public override handleNotice(link: Link, body: NoticeBody): void {
    this.#handler.handleNotice(link, body);
  }

  /** {@inheritDoc LinkHandler.handleActivity} */
  public override handleActivity(link: Link): void {
    this.#handler.handleActivity(link);
  }

  /** {@inheritDoc LinkHandler.handleClose} */
  public override handleClose(link: Link, detail: string): void {
    const wasOpen = this.#isOpen;
    this.#isOpen = false;
    if (wasOpen) this.#handler.handleClose(link, detail);
    if (this.#isStopped) return;
    const delayMs = this.#retryDelayMs * (0.5 + Math.random() / 2);
    this.#retryDelayMs = Math.min(this.#retryDelayMs * 2, periods.maxRetryDelayMs / 5);
    this.#retryTimer = setTimeout(() => {
      this.#dial();
    }, delayMs);
  }

  #dial(): void {
    const [host = '', port = '0'] = this.#address.split(':');
    this.#link = new Link(connect(Number(port), host), this.#hello, this);
  }
}
