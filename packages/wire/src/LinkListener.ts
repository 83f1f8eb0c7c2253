import { createServer, type AddressInfo, type Server } from 'node:net';
import type { Hello } from '@toucanline/schema';
import { Link } from './Link.js';
import type { LinkHandler } from './LinkHandler.js';

/** Accepts links from other processes. */
export class LinkListener {
  readonly #server: Server;
  readonly #links = new Set<Link>();

  /**
   * @param hello - hello frame of this process
   * @param handler - handles the messages of the peers
   */
  public constructor(hello: Hello, handler: LinkHandler) {
    this.#server = createServer((socket) => {
      const link = new Link(socket, hello, handler);
      this.#links.add(link);
      socket.on('close', () => this.#links.delete(link));
    });
  }

  /** Links whose connection is open. */
  public get links(): readonly Link[] {
    return [...this.#links];
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
    for (const link of this.#links) link.close('this process is shutting down');
  }
}
