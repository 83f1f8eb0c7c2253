import type { Room } from '@toucanline/schema';
import { resources } from './resources.js';
import type { Worker } from './Worker.js';

/** Reservation on one worker, and the free capacity that follows from it. */
interface WorkerReservation {
  readonly reserved: Room;
  /** Free capacity of the worker from which `free` was computed. */
  readonly workerFree: Room;
  readonly free: Room;
}

/** Capacity reserved during one planning pass for steps that are served earlier. */
export class Reservations {
  readonly #reservations = new Map<Worker, WorkerReservation>();

  /**
   * Reserves capacity on a worker. It may exceed the free capacity: then nothing else starts there until enough is
   * freed.
   *
   * @param worker - worker on which the task is to run
   * @param size - resources of one task
   */
  public reserve(worker: Worker, size: Room): void {
    const known = this.#reservations.get(worker)?.reserved ?? resources.none;
    this.#update(worker, resources.add(known, size));
  }

  /**
   * Ends a reservation.
   *
   * @param worker - worker on which capacity was reserved
   * @param size - resources of one task
   */
  public cancel(worker: Worker, size: Room): void {
    const known = this.#reservations.get(worker)?.reserved ?? resources.none;
    this.#update(worker, resources.add(known, size, -1));
  }

  /**
   * Computes the free capacity for steps that are served later.
   *
   * @param worker - worker to check
   * @returns free capacity minus reservations; negative if more is reserved than is free
   */
  public freeOn(worker: Worker): Room {
    const known = this.#reservations.get(worker);
    if (known === undefined) return worker.free;
    // The free capacity of a worker is replaced when a task is placed there.
    return known.workerFree === worker.free ? known.free : this.#update(worker, known.reserved);
  }

  #update(worker: Worker, reserved: Room): Room {
    const workerFree = worker.free;
    const free = resources.add(workerFree, reserved, -1);
    this.#reservations.set(worker, { reserved, workerFree, free });
    return free;
  }
}
