import type { CallBody, Hello, NoticeBody, ReplyBody } from '@toucanline/schema';
import type { Link } from './Link.js';

/** Handles the messages and the state changes of the links of a process. */
export abstract class LinkHandler {
  /**
   * Handles the opening of a link, once the hello frame of the peer was received.
   *
   * @param link - the link
   * @param hello - hello frame of the peer
   */
  public abstract handleOpen(link: Link, hello: Hello): void;

  /**
   * Handles a call of the peer.
   *
   * @param link - the link
   * @param body - the call
   * @returns the reply to send
   */
  public abstract handleCall(link: Link, body: CallBody): Promise<ReplyBody>;

  /**
   * Handles a notice of the peer.
   *
   * @param link - the link
   * @param body - the notice
   */
  public abstract handleNotice(link: Link, body: NoticeBody): void;

  /**
   * Handles received bytes of any frame, heartbeats included, as evidence that the peer is alive.
   *
   * @param link - the link
   */
  public abstract handleActivity(link: Link): void;

  /**
   * Handles the closing of a link.
   *
   * @param link - the link
   * @param detail - reason for closing
   */
  public abstract handleClose(link: Link, detail: string): void;
}
