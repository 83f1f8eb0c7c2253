import type { RequestClass } from './RequestClass.js';
import { ShapeQueue } from './ShapeQueue.js';

const noQueues: ReadonlySet<ShapeQueue> = new Set();

/** Waiting classes of one priority by shape and team, with the shapes that may fit. */
export class PriorityLevel {
  readonly #queueByShape = new Map<string, ShapeQueue>();
  readonly #schedulable = new Set<ShapeQueue>();
  readonly #queuesByTeam = new Map<string, Set<ShapeQueue>>();

  /** Queues of all shapes. */
  public get queues(): Iterable<ShapeQueue> {
    return this.#queueByShape.values();
  }

  /** Queues of the shapes that may fit. */
  public get schedulable(): ReadonlySet<ShapeQueue> {
    return this.#schedulable;
  }

  /**
   * Finds the queue of a shape.
   *
   * @param shape - the shape
   * @returns the queue, if anything of the shape waits
   */
  public findQueue(shape: string): ShapeQueue | undefined {
    return this.#queueByShape.get(shape);
  }

  /**
   * Lists the queues in which a team has classes.
   *
   * @param team - name of the team
   * @returns the queues
   */
  public listQueues(team: string): ReadonlySet<ShapeQueue> {
    return this.#queuesByTeam.get(team) ?? noQueues;
  }

  /**
   * Opens or closes a shape.
   *
   * @param shape - the shape
   * @param isOpen - whether it may fit
   */
  public setSchedulable(shape: string, isOpen: boolean): void {
    const queue = this.#queueByShape.get(shape);
    if (queue === undefined) return;
    if (isOpen) this.#schedulable.add(queue);
    else this.#schedulable.delete(queue);
  }

  /**
   * Adds a class or moves it after a change of its oldest request.
   *
   * @param group - the class
   * @param isOpen - whether its shape may fit, if nothing else of the shape waits
   */
  public insert(group: RequestClass, isOpen: boolean): void {
    let queue = this.#queueByShape.get(group.shape);
    if (queue === undefined) {
      queue = new ShapeQueue(group);
      this.#queueByShape.set(group.shape, queue);
      if (isOpen) this.#schedulable.add(queue);
    }
    queue.set(group);
    const known = this.#queuesByTeam.get(group.team) ?? new Set<ShapeQueue>();
    this.#queuesByTeam.set(group.team, known.add(queue));
  }

  /**
   * Removes a class.
   *
   * @param group - the class
   * @returns true if it was in the lane
   */
  public remove(group: RequestClass): boolean {
    const queue = this.#queueByShape.get(group.shape);
    if (queue?.delete(group) !== true) return false;
    if (!queue.hasTeam(group.team)) this.#removeTeam(queue, group.team);
    if (queue.isEmpty) {
      this.#schedulable.delete(queue);
      this.#queueByShape.delete(group.shape);
    }
    return true;
  }

  #removeTeam(queue: ShapeQueue, team: string): void {
    const known = this.#queuesByTeam.get(team);
    known?.delete(queue);
    if (known?.size === 0) this.#queuesByTeam.delete(team);
  }
}
