import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { ProxyFault } from './ProxyFault.js';

/** A TCP proxy on loopback that injects faults into the connections between two processes. */
export class FaultProxy {
  readonly #server: Server;
  readonly #target: () => string;
  readonly #sockets = new Set<Socket>();
  #port = 0;
  #fault: ProxyFault = 'none';
  #delayMs = 0;

  /** @param target - reads the address of the real peer, as IP and port */
  public constructor(target: () => string) {
    this.#target = target;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
  }

  /** Address of the proxy, as IP and port. */
  public get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /**
   * Sets the fault.
   *
   * @param fault - `cut` closes all connections and refuses new ones; `silence` drops all bytes of the
   * open connections but lets new ones work; `blackhole` drops all bytes of all connections
   * @param delayMs - delay of each chunk, in milliseconds
   */
  public setFault(fault: ProxyFault, delayMs = 0): void {
    this.#fault = fault;
    this.#delayMs = delayMs;
    if (fault === 'cut') for (const socket of this.#sockets) socket.destroy();
    if (fault !== 'silence') return;
    for (const socket of this.#sockets) socket.removeAllListeners('data').resume();
    this.#fault = 'none';
  }

  /**
   * Starts to listen on a free port of loopback.
   *
   * @returns once the port is bound
   */
  public start(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        this.#port = (this.#server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /** Closes all connections and stops to listen. */
  public stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #accept(client: Socket): void {
    if (this.#fault === 'cut') {
      client.destroy();
      return;
    }
    const [host = '', port = '0'] = this.#target().split(':');
    const server = connect(Number(port), host);
    this.#join(client, server);
    this.#join(server, client);
  }

  #join(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on('data', (chunk: Buffer) => {
      if (this.#fault === 'blackhole') return;
      if (this.#delayMs === 0) to.write(chunk);
      else setTimeout(() => to.write(chunk), this.#delayMs);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.#sockets.delete(from);
      to.destroy();
    });
  }
}
