import { fork, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { CrowdOrder } from './CrowdOrder.js';

/**
 * Abusive clients in a process of their own, which connect again whenever their connection is closed. In the process
 * of the test they would send more slowly than a server reads.
 */
export class Crowd {
  readonly #order: CrowdOrder;
  #child: ChildProcess | undefined;

  /** @param order - what the clients do */
  public constructor(order: CrowdOrder) {
    this.#order = order;
  }

  /** Whether the process of the clients runs. */
  public get isRunning(): boolean {
    return this.#child?.exitCode === null && this.#child.signalCode === null;
  }

  /** Starts the clients. Their process ends once they have stopped and all their connections are closed. */
  public start(): void {
    const child = fork(fileURLToPath(new URL('bin/crowd.js', import.meta.url)), {
      serialization: 'advanced',
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    this.#child = child;
    child.send(this.#order);
  }

  /** Ends the process of the clients. */
  public stop(): void {
    this.#child?.kill('SIGKILL');
  }
}
