import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { DispatchOrder } from './DispatchOrder.js';
import { IndexedHeap } from './IndexedHeap.js';
import { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import { scaleResources } from './scaleResources.js';
import { subtractResources } from './subtractResources.js';
import { zeroResources } from './zeroResources.js';

const createClassName = ({ request }: RequestRecord): string => {
  const { team, queue, kind, urgent, idempotent, size, acceleratorType, tasks } = request;
  const { processors, memoryMb, accelerators } = size;
  const parts = [team, queue, kind, urgent, idempotent, processors, memoryMb, accelerators];
  return [...parts, acceleratorType ?? '', kind === 'gang' ? tasks : 1].join('|');
};

/** Waiting requests of a shard by equivalence class, with the demand of each team. */
export class WaitingQueue {
  /** Order in which the classes are tried. */
  public readonly order = new DispatchOrder();
  readonly #classByName = new Map<string, RequestClass>();
  readonly #waiting = new Set<RequestRecord>();
  readonly #classByRequest = new Map<RequestRecord, RequestClass>();
  readonly #urgent = new Set<RequestRecord>();
  readonly #delayed = new IndexedHeap<RequestRecord>();
  readonly #arrivalByRequest = new WeakMap<RequestRecord, number>();
  readonly #demandByTeam = new Map<string, Resources>();
  readonly #countByTeam = new Map<string, number>();
  #nextArrival = 1;

  /** Number of waiting requests. */
  public get size(): number {
    return this.#waiting.size;
  }

  /** Declared resources of the waiting requests per team. */
  public get demand(): ReadonlyMap<string, Resources> {
    return this.#demandByTeam;
  }

  /** Urgent requests that are not waiting for a retry delay. */
  public get urgent(): Iterable<RequestRecord> {
    return this.#urgent;
  }

  /** Teams with waiting work. */
  public get teams(): IterableIterator<string> {
    return this.#countByTeam.keys();
  }

  /**
   * Counts the waiting requests of a team.
   *
   * @param team - name of the team
   * @returns the number of requests
   */
  public countRequests(team: string): number {
    return this.#countByTeam.get(team) ?? 0;
  }

  /**
   * Adds a request. A request that waited before keeps its position in the order of arrival.
   *
   * @param record - the request
   */
  public add(record: RequestRecord): void {
    if (this.#waiting.has(record)) return;
    this.#waiting.add(record);
    const { team, size, tasks } = record.request;
    this.#countByTeam.set(team, this.countRequests(team) + 1);
    const demand = this.#demandByTeam.get(team) ?? zeroResources;
    this.#demandByTeam.set(team, addResources(demand, scaleResources(size, tasks)));
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
    const count = this.countRequests(team) - 1;
    const demand = this.#demandByTeam.get(team) ?? zeroResources;
    if (count > 0) {
      this.#countByTeam.set(team, count);
      this.#demandByTeam.set(team, subtractResources(demand, scaleResources(size, tasks)));
    } else {
      this.#countByTeam.delete(team);
      this.#demandByTeam.delete(team);
    }
    if (!this.#delayed.delete(record)) this.#removeFromClass(record);
  }

  /**
   * Makes the requests schedulable whose retry delay is over.
   *
   * @param now - monotonic time in milliseconds
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
   * @returns the class; undefined if the request does not wait, or waits for a retry delay
   */
  public findClass(record: RequestRecord): RequestClass | undefined {
    return this.#classByRequest.get(record);
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
    const name = createClassName(record);
    const requestClass = this.#classByName.get(name) ?? new RequestClass(name, record);
    this.#classByName.set(name, requestClass);
    this.#classByRequest.set(record, requestClass);
    if (requestClass.urgent) this.#urgent.add(record);
    requestClass.add(record, this.#readArrival(record));
    this.order.update(requestClass);
  }

  #removeFromClass(record: RequestRecord): void {
    const requestClass = this.#classByRequest.get(record);
    if (requestClass === undefined) return;
    this.#classByRequest.delete(record);
    this.#urgent.delete(record);
    requestClass.remove(record);
    this.order.update(requestClass);
    if (requestClass.count === 0) this.#classByName.delete(requestClass.name);
  }

  #readArrival(record: RequestRecord): number {
    const known = this.#arrivalByRequest.get(record);
    if (known !== undefined) return known;
    const arrival = this.#nextArrival;
    this.#nextArrival += 1;
    this.#arrivalByRequest.set(record, arrival);
    return arrival;
  }
}
