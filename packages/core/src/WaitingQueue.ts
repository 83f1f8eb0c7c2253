import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { DispatchOrder } from './DispatchOrder.js';
import { IndexedHeap } from './IndexedHeap.js';
import { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import { scaleResources } from './scaleResources.js';
import { subtractResources } from './subtractResources.js';
import { zeroResources } from './zeroResources.js';

const nameClass = ({ request }: RequestRecord): string => {
  const { team, queue, kind, urgent, idempotent, size, acceleratorType, tasks } = request;
  const { processors, memoryMb, accelerators } = size;
  const parts = [team, queue, kind, urgent, idempotent, processors, memoryMb, accelerators];
  return [...parts, acceleratorType ?? '', kind === 'gang' ? tasks : 1].join('|');
};

/** Waiting requests of a shard by team and class. */
export class WaitingQueue {
  /** Order in which the classes are tried. */
  public readonly order = new DispatchOrder();
  readonly #classes = new Map<string, RequestClass>();
  readonly #waiting = new Set<RequestRecord>();
  readonly #classOf = new Map<RequestRecord, RequestClass>();
  readonly #urgent = new Set<RequestRecord>();
  readonly #delayed = new IndexedHeap<RequestRecord>();
  readonly #arrivals = new WeakMap<RequestRecord, number>();
  readonly #demand = new Map<string, Resources>();
  readonly #counts = new Map<string, number>();
  #nextArrival = 1;

  /** Number of waiting requests. */
  public get size(): number {
    return this.#waiting.size;
  }

  /** Declared size of waiting work per team. */
  public get demand(): ReadonlyMap<string, Resources> {
    return this.#demand;
  }

  /** Urgent requests that wait for no retry delay. */
  public get urgent(): Iterable<RequestRecord> {
    return this.#urgent;
  }

  /** Teams with waiting work. */
  public get teams(): IterableIterator<string> {
    return this.#counts.keys();
  }

  /**
   * Counts the waiting requests of a team.
   *
   * @param team - name of the team
   * @returns the number of requests
   */
  public countTeam(team: string): number {
    return this.#counts.get(team) ?? 0;
  }

  /**
   * Adds a request. One that waited before takes its former place in the order of arrival.
   *
   * @param record - the request
   */
  public add(record: RequestRecord): void {
    if (this.#waiting.has(record)) return;
    this.#waiting.add(record);
    const { team, size, tasks } = record.request;
    this.#counts.set(team, this.countTeam(team) + 1);
    const demand = this.#demand.get(team) ?? zeroResources;
    this.#demand.set(team, addResources(demand, scaleResources(size, tasks)));
    if (record.notBefore > 0) this.#delayed.set(record, record.notBefore);
    else this.#addToClass(record);
  }

  /**
   * Removes a request.
   *
   * @param record - the request
   */
  public remove(record: RequestRecord): void {
    if (!this.#waiting.delete(record)) return;
    const { team, size, tasks } = record.request;
    const count = this.countTeam(team) - 1;
    const demand = this.#demand.get(team) ?? zeroResources;
    if (count > 0) {
      this.#counts.set(team, count);
      this.#demand.set(team, subtractResources(demand, scaleResources(size, tasks)));
    } else {
      this.#counts.delete(team);
      this.#demand.delete(team);
    }
    if (!this.#delayed.delete(record)) this.#removeFromClass(record);
  }

  /**
   * Lets requests start whose retry delay is over.
   *
   * @param now - local monotonic time in milliseconds
   */
  public releaseDue(now: number): void {
    while (this.#delayed.firstKey <= now) {
      const record = this.#delayed.first;
      if (record === undefined) return;
      this.#delayed.delete(record);
      this.#addToClass(record);
    }
  }

  /**
   * Finds the class of a waiting request.
   *
   * @param record - the request
   * @returns the class; undefined if the request does not wait or waits for a retry delay
   */
  public findClass(record: RequestRecord): RequestClass | undefined {
    return this.#classOf.get(record);
  }

  /**
   * Lists all waiting requests.
   *
   * @returns the requests in no particular order
   */
  public list(): readonly RequestRecord[] {
    return [...this.#waiting];
  }

  #addToClass(record: RequestRecord): void {
    const name = nameClass(record);
    const group = this.#classes.get(name) ?? new RequestClass(name, record);
    this.#classes.set(name, group);
    this.#classOf.set(record, group);
    if (group.urgent) this.#urgent.add(record);
    group.add(record, this.#readArrival(record));
    this.order.update(group);
  }

  #removeFromClass(record: RequestRecord): void {
    const group = this.#classOf.get(record);
    if (group === undefined) return;
    this.#classOf.delete(record);
    this.#urgent.delete(record);
    group.remove(record);
    this.order.update(group);
    if (group.count === 0) this.#classes.delete(group.name);
  }

  #readArrival(record: RequestRecord): number {
    const known = this.#arrivals.get(record);
    if (known !== undefined) return known;
    const arrival = this.#nextArrival;
    this.#nextArrival += 1;
    this.#arrivals.set(record, arrival);
    return arrival;
  }
}
