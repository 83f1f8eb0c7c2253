import { createServer, type AddressInfo, type Server } from 'node:net';
import type { Hello } from '@toucanline/schema';
import { Link } from './Link.js';
import type { LinkHandler } from './LinkHandler.js';

/** Accepts links from other processes. */
export class LinkListener {
  readonly #server: Server;
  readonly #links = new Set<Link>();

  /**
   * @param hello - what this process tells of itself
   * @param handler - takes the messages of the peers
   */
  public constructor(hello: Hello, handler: LinkHandler) {
    this.#server = createServer((socket) => {
      const link = new Link(socket, hello, handler);
      this.#links.add(link);
      socket.on('close', () => this.#links.delete(link));
    });
  }

  /** Open links. */
  public get links(): readonly Link[] {
    return [...this.#links];
  }

  /**
   * Starts to listen.
   *
   * @param host - IP address
   * @param port - TCP port; 0 chooses a free one
   * @returns the address, as IP and port
   */
  public listen(host: string, port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
        const { port: bound } = this.#server.address() as AddressInfo;
        resolve(`${host}:${bound}`);
      });
    });
  }

  /** Stops to listen and closes all links. */
  public close(): void {
    this.#server.close();
    for (const link of this.#links) link.close('this process is stopping');
  }
}
