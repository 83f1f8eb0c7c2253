import { connect, type Socket } from 'node:net';
import type { CrowdOrder } from './CrowdOrder.js';
import { sleep } from './sleep.js';

/** Time for which a connection stays open after its last byte, in milliseconds. */
const openMs = 200;
/** Pause before the next connection, in milliseconds. */
const reconnectMs = 20;

/** An abusive client with one connection at a time. */
export class CrowdClient {
  readonly #order: CrowdOrder;
  readonly #endsAt: number;

  /** @param order - what the client does */
  public constructor(order: CrowdOrder) {
    this.#order = order;
    this.#endsAt = performance.now() + order.durationMs;
  }

  /** Connects, sends and connects again until the time is over. */
  public async run(): Promise<void> {
    while (performance.now() < this.#endsAt) {
      await this.#runConnection();
      await sleep(reconnectMs);
    }
  }

  async #runConnection(): Promise<void> {
    const [host = '', port = '0'] = this.#order.address.split(':');
    const { first, repeated, repeats, last, isUnread } = this.#order.abuse;
    const socket = connect(Number(port), host);
    const deadline = setTimeout(() => socket.destroy(), this.#endsAt - performance.now());
    // The server may refuse or reset the connection at any time.
    socket.on('error', () => undefined);
    if (!isUnread) socket.resume();
    socket.write(first);
    for (let count = 0; count < repeats && !socket.destroyed; count += 1) {
      if (!socket.write(repeated)) await this.#waitFor(socket, 'drain');
    }
    if (last !== undefined) socket.write(last);
    if (!socket.destroyed) await Promise.race([this.#waitFor(socket, 'end'), sleep(openMs)]);
    clearTimeout(deadline);
    socket.destroy();
  }

  /** Waits for an event, or until the connection is closed. */
  #waitFor(socket: Socket, event: 'drain' | 'end'): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        socket.off(event, finish);
        socket.off('close', finish);
        resolve();
      };
      socket.once(event, finish);
      socket.once('close', finish);
    });
  }
}
