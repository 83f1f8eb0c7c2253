import type { RequestClass } from './RequestClass.js';
import { ShapeQueue } from './ShapeQueue.js';

const noQueues: ReadonlySet<ShapeQueue> = new Set();

/** Waiting classes of one priority by shape and team, with the set of shapes that may fit. */
export class PriorityLevel {
  readonly #queueByShape = new Map<string, ShapeQueue>();
  readonly #schedulable = new Set<ShapeQueue>();
  readonly #queuesByTeam = new Map<string, Set<ShapeQueue>>();

  /** Queues of all shapes. */
  public get queues(): Iterable<ShapeQueue> {
    return this.#queueByShape.values();
  }

  /** Queues of the schedulable shapes, which may fit on a worker. */
  public get schedulable(): ReadonlySet<ShapeQueue> {
    return this.#schedulable;
  }

  /**
   * Finds the queue of a shape.
   *
   * @param shape - the shape
   * @returns the queue; undefined if no class of the shape waits
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
   * Marks a shape as schedulable or blocked.
   *
   * @param shape - the shape
   * @param isSchedulable - whether it may fit
   */
  public setSchedulable(shape: string, isSchedulable: boolean): void {
    const queue = this.#queueByShape.get(shape);
    if (queue === undefined) return;
    if (isSchedulable) this.#schedulable.add(queue);
    else this.#schedulable.delete(queue);
  }

  /**
   * Adds a class or updates its position after a change of its oldest request.
   *
   * @param requestClass - the class
   * @param isSchedulable - whether the shape may fit; used only if no other class of the shape
   * waits
   */
  public insert(requestClass: RequestClass, isSchedulable: boolean): void {
    let queue = this.#queueByShape.get(requestClass.shape);
    if (queue === undefined) {
      queue = new ShapeQueue(requestClass);
      this.#queueByShape.set(requestClass.shape, queue);
      if (isSchedulable) this.#schedulable.add(queue);
    }
    queue.set(requestClass);
    const teamQueues = this.#queuesByTeam.get(requestClass.team) ?? new Set<ShapeQueue>();
    this.#queuesByTeam.set(requestClass.team, teamQueues.add(queue));
  }

  /**
   * Removes a class.
   *
   * @param requestClass - the class
   * @returns true if the class was in this priority level
   */
  public remove(requestClass: RequestClass): boolean {
    const queue = this.#queueByShape.get(requestClass.shape);
    if (queue?.delete(requestClass) !== true) return false;
    if (!queue.hasTeam(requestClass.team)) this.#removeTeam(queue, requestClass.team);
    if (queue.isEmpty) {
      this.#schedulable.delete(queue);
      this.#queueByShape.delete(requestClass.shape);
    }
    return true;
  }

  #removeTeam(queue: ShapeQueue, team: string): void {
    const teamQueues = this.#queuesByTeam.get(team);
    teamQueues?.delete(queue);
    if (teamQueues?.size === 0) this.#queuesByTeam.delete(team);
  }
}
