import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { ProxyFault } from './ProxyFault.js';

/** A TCP proxy on loopback that injects faults into the connections between two processes. */
export class FaultProxy {
  readonly #server: Server;
  readonly #readTarget: () => string;
  readonly #readClientName: ((firstChunk: Buffer) => string) | undefined;
  /** Open sockets, each with the name of the client of its connection. */
  readonly #sockets = new Map<Socket, string>();
  #port = 0;
  #findFault: (clientName: string) => ProxyFault = () => 'none';
  #delayMs = 0;

  /**
   * @param readTarget - returns the address of the server, as IP address and port
   * @param readClientName - reads the name of the client from the first bytes that it sends, for `setFaults`
   */
  public constructor(readTarget: () => string, readClientName?: (firstChunk: Buffer) => string) {
    this.#readTarget = readTarget;
    this.#readClientName = readClientName;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
  }

  /** Address of the proxy, as IP address and port. */
  public get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /**
   * Sets the fault for all connections.
   *
   * @param fault - `cut` closes all connections and refuses new ones; `silence` drops all bytes of the
   * open connections, while new ones work; `blackhole` drops all bytes of all connections
   * @param delayMs - delay of each chunk of data, in milliseconds
   */
  public setFault(fault: ProxyFault, delayMs = 0): void {
    this.#delayMs = delayMs;
    this.setFaults(() => fault);
    if (fault === 'silence') this.#findFault = () => 'none';
  }

  /**
   * Sets the fault of each connection by its client.
   *
   * @param findFault - returns the fault for the name of a client
   */
  public setFaults(findFault: (clientName: string) => ProxyFault): void {
    this.#findFault = findFault;
    for (const [socket, clientName] of this.#sockets) {
      const fault = findFault(clientName);
      if (fault === 'cut') socket.destroy();
      if (fault === 'silence') socket.removeAllListeners('data').resume();
    }
  }

  /** Closes all connections. */
  public closeConnections(): void {
    for (const socket of this.#sockets.keys()) socket.destroy();
  }

  /**
   * Listens on a free port of loopback.
   *
   * @returns a promise that resolves once the port is bound
   */
  public start(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        this.#port = (this.#server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /** Closes all connections and stops listening. */
  public stop(): void {
    this.closeConnections();
    this.#server.close();
  }

  #accept(client: Socket): void {
    const readClientName = this.#readClientName;
    if (readClientName === undefined) {
      this.#connect(client, '');
      return;
    }
    client.on('error', () => client.destroy());
    client.once('data', (firstChunk: Buffer) => {
      this.#connect(client, readClientName(firstChunk), firstChunk);
    });
  }

  #connect(client: Socket, clientName: string, firstChunk?: Buffer): void {
    if (this.#findFault(clientName) === 'cut') {
      client.destroy();
      return;
    }
    const [host = '', port = '0'] = this.#readTarget().split(':');
    const server = connect(Number(port), host);
    this.#forwardData(client, server, clientName);
    this.#forwardData(server, client, clientName);
    if (firstChunk !== undefined) client.emit('data', firstChunk);
  }

  #forwardData(from: Socket, to: Socket, clientName: string): void {
    this.#sockets.set(from, clientName);
    from.on('data', (chunk: Buffer) => {
      if (this.#findFault(clientName) === 'blackhole') return;
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
