import { connect, type Socket } from 'node:net';
import type { Abuse } from './Abuse.js';
import { sleep } from './sleep.js';

/** Number of connections that are opened at a time: fewer than the backlog of a listening socket. */
const openedAtOnce = 20;
/** Time after which a client stops to send to a server that does not read, in milliseconds. */
const stalledAfterMs = 3000;

/** A bounded number of abusive connections to loopback addresses, which stay open until they are closed. */
export class AbusiveClients {
  readonly #sockets: Socket[] = [];

  /**
   * Opens connections and sends the bytes of an abuse on each.
   *
   * @param address - IP address and port
   * @param count - number of connections
   * @param abuse - what each connection sends
   * @param onBatch - called after each group of connections
   * @returns a promise that resolves once all bytes are sent, or not taken any more
   */
  public async open(
    address: string,
    count: number,
    abuse: Abuse,
    onBatch: () => void,
  ): Promise<void> {
    for (let opened = 0; opened < count; opened += openedAtOnce) {
      const batch = Array.from({ length: Math.min(openedAtOnce, count - opened) }, () =>
        this.#run(address, abuse),
      );
      await Promise.all(batch);
      onBatch();
    }
  }

  /** Closes all connections. */
  public close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  async #run(address: string, abuse: Abuse): Promise<void> {
    const [host = '', port = '0'] = address.split(':');
    const socket = connect(Number(port), host);
    this.#sockets.push(socket);
    // The server may refuse or reset the connection at any time.
    socket.on('error', () => undefined);
    if (!abuse.isUnread) socket.resume();
    await this.#waitFor(socket, 'connect');
    socket.write(abuse.first);
    for (let count = 0; count < abuse.repeats && !socket.destroyed; count += 1) {
      if (!socket.write(abuse.repeated) && !(await this.#waitFor(socket, 'drain'))) return;
    }
  }

  /** Waits for an event; returns false if the socket is closed or stalled. */
  async #waitFor(socket: Socket, event: 'connect' | 'drain'): Promise<boolean> {
    const happened = new Promise<boolean>((resolve) => {
      socket.once(event, () => {
        resolve(true);
      });
      socket.once('close', () => {
        resolve(false);
      });
    });
    return Promise.race([happened, sleep(stalledAfterMs).then(() => false)]);
  }
}
