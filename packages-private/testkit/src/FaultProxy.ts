import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { ProxyFault } from './ProxyFault.js';

/** A TCP proxy on loopback that injects faults into the connections between two processes. */
export class FaultProxy {
  readonly #server: Server;
  readonly #readTarget: () => string;
  readonly #readClientName: ((first: Buffer) => string) | undefined;
  /** Open sockets with the name of the dialling side. */
  readonly #sockets = new Map<Socket, string>();
  #port = 0;
  #findFault: (dialer: string) => ProxyFault = () => 'none';
  #delayMs = 0;

  /**
   * @param target - reads the address of the real peer, as IP and port
   * @param readDialer - reads the name of the dialling side from its first bytes, for `setFaults`
   */
  public constructor(target: () => string, readDialer?: (first: Buffer) => string) {
    this.#readTarget = target;
    this.#readClientName = readDialer;
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
    this.#delayMs = delayMs;
    this.setFaults(() => fault);
    if (fault === 'silence') this.#findFault = () => 'none';
  }

  /**
   * Sets the fault of each connection by its dialling side.
   *
   * @param findFault - finds the fault for the name of the dialling side
   */
  public setFaults(findFault: (dialer: string) => ProxyFault): void {
    this.#findFault = findFault;
    for (const [socket, dialer] of this.#sockets) {
      const fault = findFault(dialer);
      if (fault === 'cut') socket.destroy();
      if (fault === 'silence') socket.removeAllListeners('data').resume();
    }
  }

  /** Closes all connections. */
  public closeConnections(): void {
    for (const socket of this.#sockets.keys()) socket.destroy();
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
    this.closeConnections();
    this.#server.close();
  }

  #accept(client: Socket): void {
    const readDialer = this.#readClientName;
    if (readDialer === undefined) {
      this.#connect(client, '');
      return;
    }
    client.on('error', () => client.destroy());
    client.once('data', (first: Buffer) => {
      this.#connect(client, readDialer(first), first);
    });
  }

  #connect(client: Socket, dialer: string, first?: Buffer): void {
    if (this.#findFault(dialer) === 'cut') {
      client.destroy();
      return;
    }
    const [host = '', port = '0'] = this.#readTarget().split(':');
    const server = connect(Number(port), host);
    this.#forwardData(client, server, dialer);
    this.#forwardData(server, client, dialer);
    if (first !== undefined) client.emit('data', first);
  }

  #forwardData(from: Socket, to: Socket, dialer: string): void {
    this.#sockets.set(from, dialer);
    from.on('data', (chunk: Buffer) => {
      if (this.#findFault(dialer) === 'blackhole') return;
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
