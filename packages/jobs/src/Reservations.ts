import type { Room } from '@toucanline/schema';
import { resources } from './resources.js';
import type { Worker } from './Worker.js';

/** Capacity reserved during one planning pass for steps that are served earlier. */
export class Reservations {
  readonly #reserved = new Map<Worker, Room>();

  /**
   * Reserves capacity on a worker. It may exceed the free capacity: then nothing else starts there until enough is
   * freed.
   *
   * @param worker - worker on which the task is to run
   * @param size - resources of one task
   */
  public reserve(worker: Worker, size: Room): void {
    this.#reserved.set(worker, resources.add(this.reservedOn(worker), size));
  }

  /**
   * Finds the capacity that is reserved on a worker.
   *
   * @param worker - worker to check
   * @returns reserved capacity
   */
  public reservedOn(worker: Worker): Room {
    return this.#reserved.get(worker) ?? resources.none;
  }

  /**
   * Computes the free capacity for steps that are served later.
   *
   * @param worker - worker to check
   * @returns free capacity minus reservations; negative if more is reserved than is free
   */
  public freeOn(worker: Worker): Room {
    const reserved = this.#reserved.get(worker);
    return reserved === undefined ? worker.free : resources.add(worker.free, reserved, -1);
  }
}
