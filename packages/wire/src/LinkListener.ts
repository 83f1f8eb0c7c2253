import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { Hello } from '@toucanline/schema';
import { Link } from './Link.js';
import type { LinkBudgets } from './LinkBudgets.js';
import type { LinkHandler } from './LinkHandler.js';
import type { LinkRefusal } from './LinkRefusal.js';
import { TurnQueue } from './TurnQueue.js';

/** Budgets of a listener that has none in its settings: those of a machine with 4,100 descriptors and 1 GB. */
const defaultBudgets: LinkBudgets = {
  maxLinks: 390,
  maxUnidentifiedLinks: 97,
  maxUnidentifiedBytes: 16_384,
  helloMs: 5000,
  maxBufferedBytes: 64 * 1024 * 1024,
};

/** Accepts links from other processes, within budgets for peers that do not identify themselves. */
export class LinkListener {
  readonly #server: Server;
  readonly #budgets: LinkBudgets;
  readonly #onRefusal: (reason: LinkRefusal) => void;
  /** Open links in the order in which they were accepted, with the bytes that each has buffered. */
  readonly #links = new Map<Link, number>();
  #bufferedBytes = 0;

  /**
   * @param hello - hello frame of this process
   * @param handler - handles the messages of the peers
   * @param budgets - budgets of the links
   * @param onRefusal - called when a link is refused or closed because of a budget
   * @param turns - shares the time of the event loop between the links and other connections
   */
  public constructor(
    hello: Hello,
    handler: LinkHandler,
    budgets: LinkBudgets = defaultBudgets,
    onRefusal: (reason: LinkRefusal) => void = () => undefined,
    turns = new TurnQueue(),
  ) {
    this.#budgets = budgets;
    this.#onRefusal = onRefusal;
    this.#server = createServer((socket) => {
      if (this.#makeRoom()) this.#accept(socket, new Link(socket, hello, handler, turns));
      else socket.destroy();
    });
    // Without a listener, an error such as EMFILE at accept ends the process.
    this.#server.on('error', () => {
      if (this.#server.listening) this.#onRefusal('acceptFailed');
    });
  }

  /** Links whose connection is open. */
  public get links(): readonly Link[] {
    return [...this.#links.keys()];
  }

  /**
   * Starts to listen for connections.
   *
   * @param host - IP address to bind
   * @param port - TCP port; 0 lets the operating system choose a free one
   * @returns the bound address, as IP address and port separated by a colon
   */
  public listen(host: string, port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.on('error', reject);
      this.#server.listen(port, host, () => {
        const { port: boundPort } = this.#server.address() as AddressInfo;
        resolve(`${host}:${boundPort}`);
      });
    });
  }

  /** Stops listening and closes all links. */
  public close(): void {
    this.#server.close();
    for (const link of this.links) link.close('this process is shutting down');
  }

  /** Closes the oldest link without a hello if no further link may be open; returns false if there is none. */
  #makeRoom(): boolean {
    const { maxLinks, maxUnidentifiedLinks } = this.#budgets;
    const unidentified = this.links.filter(({ peer }) => peer === undefined);
    if (this.#links.size < maxLinks && unidentified.length < maxUnidentifiedLinks) return true;
    const [oldest] = unidentified;
    if (oldest === undefined) this.#onRefusal('links');
    else this.#refuse(oldest, 'links');
    return oldest !== undefined;
  }

  #accept(socket: Socket, link: Link): void {
    this.#links.set(link, 0);
    const helloTimer = setTimeout(() => {
      if (link.peer === undefined) this.#refuse(link, 'helloTime');
    }, this.#budgets.helloMs);
    socket.on('data', () => {
      this.#checkBytes(link);
    });
    socket.on('close', () => {
      clearTimeout(helloTimer);
      this.#forget(link);
    });
  }

  #checkBytes(link: Link): void {
    const known = this.#links.get(link);
    if (known === undefined) return;
    const { bufferedBytes } = link;
    const { maxUnidentifiedBytes, maxBufferedBytes } = this.#budgets;
    this.#links.set(link, bufferedBytes);
    this.#bufferedBytes += bufferedBytes - known;
    if (link.peer === undefined && bufferedBytes > maxUnidentifiedBytes)
      this.#refuse(link, 'helloBytes');
    while (this.#bufferedBytes > maxBufferedBytes) this.#closeFullest();
  }

  /** Closes the link with the largest unfinished frame: the others need less of the budget. */
  #closeFullest(): void {
    const [fullest] = [...this.#links].sort(([, left], [, right]) => right - left);
    if (fullest !== undefined) this.#refuse(fullest[0], 'linkBytes');
  }

  #refuse(link: Link, reason: LinkRefusal): void {
    this.#forget(link);
    this.#onRefusal(reason);
    link.close(`refused: ${reason}`);
  }

  #forget(link: Link): void {
    this.#bufferedBytes -= this.#links.get(link) ?? 0;
    this.#links.delete(link);
  }
}
