import type { Room } from '@toucanline/schema';
import { resources } from './resources.js';
import type { Worker } from './Worker.js';

/** Room that work with an earlier turn waits for during one planning pass. */
export class Reservations {
  readonly #reserved = new Map<Worker, Room>();

  /**
   * Reserves room on a worker. It may be more than is free: then nothing else starts there until it is.
   *
   * @param worker - the worker
   * @param size - room of one task
   */
  public reserve(worker: Worker, size: Room): void {
    this.#reserved.set(worker, resources.add(this.reservedOn(worker), size));
  }

  /**
   * Finds what is reserved on a worker.
   *
   * @param worker - the worker
   * @returns the reserved room
   */
  public reservedOn(worker: Worker): Room {
    return this.#reserved.get(worker) ?? resources.none;
  }

  /**
   * Computes the room that is free for work with a later turn.
   *
   * @param worker - the worker
   * @returns free room without what is reserved
   */
  public freeOn(worker: Worker): Room {
    const reserved = this.#reserved.get(worker);
    return reserved === undefined ? worker.free : resources.add(worker.free, reserved, -1);
  }
}
