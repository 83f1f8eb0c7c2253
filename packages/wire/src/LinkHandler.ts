import type { CallBody, Hello, NoticeBody, ReplyBody } from '@toucanline/schema';
import type { Link } from './Link.js';

/** What a process does with the messages of its links. */
export abstract class LinkHandler {
  /**
   * Called once a link is open and the peer has introduced itself.
   *
   * @param link - the link
   * @param hello - what the peer told of itself
   */
  public abstract handleOpen(link: Link, hello: Hello): void;

  /**
   * Answers a call.
   *
   * @param link - the link
   * @param body - the call
   * @returns the reply
   */
  public abstract handleCall(link: Link, body: CallBody): Promise<ReplyBody>;

  /**
   * Takes a notice.
   *
   * @param link - the link
   * @param body - the notice
   */
  public abstract handleNotice(link: Link, body: NoticeBody): void;

  /**
   * Called with each sign of life of the peer, heartbeats included.
   *
   * @param link - the link
   */
  public abstract handleActivity(link: Link): void;

  /**
   * Called once a link is closed.
   *
   * @param link - the link
   * @param detail - why it was closed
   */
  public abstract handleClose(link: Link, detail: string): void;
}
