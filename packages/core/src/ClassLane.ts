import type { RequestClass } from './RequestClass.js';
import { ShapeQueue } from './ShapeQueue.js';

const none: ReadonlySet<ShapeQueue> = new Set();

/** Waiting classes of one priority by shape and team, with the shapes that may fit. */
export class ClassLane {
  readonly #queues = new Map<string, ShapeQueue>();
  readonly #open = new Set<ShapeQueue>();
  readonly #queuesOf = new Map<string, Set<ShapeQueue>>();

  /** Queues of all shapes. */
  public get queues(): Iterable<ShapeQueue> {
    return this.#queues.values();
  }

  /** Queues of the shapes that may fit. */
  public get open(): ReadonlySet<ShapeQueue> {
    return this.#open;
  }

  /**
   * Finds the queue of a shape.
   *
   * @param shape - the shape
   * @returns the queue, if anything of the shape waits
   */
  public findQueue(shape: string): ShapeQueue | undefined {
    return this.#queues.get(shape);
  }

  /**
   * Lists the queues in which a team has classes.
   *
   * @param team - name of the team
   * @returns the queues
   */
  public listQueues(team: string): ReadonlySet<ShapeQueue> {
    return this.#queuesOf.get(team) ?? none;
  }

  /**
   * Opens or closes a shape.
   *
   * @param shape - the shape
   * @param isOpen - whether it may fit
   */
  public setOpen(shape: string, isOpen: boolean): void {
    const queue = this.#queues.get(shape);
    if (queue === undefined) return;
    if (isOpen) this.#open.add(queue);
    else this.#open.delete(queue);
  }

  /**
   * Adds a class or moves it after a change of its oldest request.
   *
   * @param group - the class
   * @param isOpen - whether its shape may fit, if nothing else of the shape waits
   */
  public insert(group: RequestClass, isOpen: boolean): void {
    let queue = this.#queues.get(group.shape);
    if (queue === undefined) {
      queue = new ShapeQueue(group);
      this.#queues.set(group.shape, queue);
      if (isOpen) this.#open.add(queue);
    }
    queue.set(group);
    const known = this.#queuesOf.get(group.team) ?? new Set<ShapeQueue>();
    this.#queuesOf.set(group.team, known.add(queue));
  }

  /**
   * Removes a class.
   *
   * @param group - the class
   * @returns true if it was in the lane
   */
  public remove(group: RequestClass): boolean {
    const queue = this.#queues.get(group.shape);
    if (queue?.delete(group) !== true) return false;
    if (!queue.hasTeam(group.team)) this.#forget(queue, group.team);
    if (queue.isEmpty) {
      this.#open.delete(queue);
      this.#queues.delete(group.shape);
    }
    return true;
  }

  #forget(queue: ShapeQueue, team: string): void {
    const known = this.#queuesOf.get(team);
    known?.delete(queue);
    if (known?.size === 0) this.#queuesOf.delete(team);
  }
}
