import type { Room } from '@toucanline/schema';
import { rooms } from './rooms.js';
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
  public add(worker: Worker, size: Room): void {
    this.#reserved.set(worker, rooms.add(this.find(worker), size));
  }

  /**
   * Finds what is reserved on a worker.
   *
   * @param worker - the worker
   * @returns the reserved room
   */
  public find(worker: Worker): Room {
    return this.#reserved.get(worker) ?? rooms.none;
  }

  /**
   * Computes the room that is free for work with a later turn.
   *
   * @param worker - the worker
   * @returns free room without what is reserved
   */
  public freeOn(worker: Worker): Room {
    const reserved = this.#reserved.get(worker);
    return reserved === undefined ? worker.free : rooms.add(worker.free, reserved, -1);
  }
}
