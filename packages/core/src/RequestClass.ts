import type { Resources } from '@toucanline/schema';
import { IndexedHeap } from './IndexedHeap.js';
import type { RequestRecord } from './RequestRecord.js';
import { canUseAcceleratorReserve } from './canUseAcceleratorReserve.js';

/**
 * Equivalence class of waiting requests, which are equal for scheduling and placement, in the order
 * of their arrival.
 */
export class RequestClass {
  public readonly name: string;
  public readonly team: string;
  public readonly urgent: boolean;
  public readonly isGang: boolean;
  public readonly size: Resources;
  public readonly acceleratorType: string | undefined;
  /** Whether its requests may use the accelerator reserve. */
  public readonly canUseAcceleratorReserve: boolean;
  /** Number of tasks that have to start together; one for other kinds than gangs. */
  public readonly gangSize: number;
  /** Key that is equal for all classes that fit on the same workers. */
  public readonly shape: string;
  readonly #requests = new IndexedHeap<RequestRecord>();
  #skipCount = 0;

  /**
   * @param name - unique name of the class
   * @param record - first request of the class
   */
  public constructor(name: string, { request }: RequestRecord) {
    const { team, urgent, idempotent, kind, size, acceleratorType, tasks } = request;
    const { processors, memoryMb, accelerators } = size;
    this.name = name;
    this.team = team;
    this.urgent = urgent;
    this.isGang = kind === 'gang';
    this.canUseAcceleratorReserve = canUseAcceleratorReserve(request);
    this.size = size;
    this.acceleratorType = acceleratorType;
    // Tasks of other kinds start one by one, so their number does not determine whether they fit.
    this.gangSize = this.isGang ? tasks : 1;
    const parts = [processors, memoryMb, accelerators, acceleratorType ?? '', this.gangSize];
    // Non-idempotent work does not fit on workers in quarantine.
    this.shape = [...parts, this.isGang, urgent, idempotent].join('|');
  }

  /** Number of waiting requests. */
  public get count(): number {
    return this.#requests.size;
  }

  /**
   * Number of times that another class of the same team was preferred since a request was last
   * removed from this one.
   */
  public get skipCount(): number {
    return this.#skipCount;
  }

  /** Oldest request; undefined if there is none. */
  public get first(): RequestRecord | undefined {
    return this.#requests.first;
  }

  /** Position of the oldest request in the order of arrival. */
  public get firstArrival(): number {
    return this.#requests.firstKey;
  }

  /**
   * Adds a request at its position in the order of arrival.
   *
   * @param record - the request
   * @param arrival - position in the order of arrival
   */
  public add(record: RequestRecord, arrival: number): void {
    this.#requests.set(record, arrival);
  }

  /**
   * Removes a request.
   *
   * @param record - the request
   */
  public remove(record: RequestRecord): void {
    this.#requests.delete(record);
    this.#skipCount = 0;
  }

  /** Counts that another class of the same team was preferred because its shape matches better. */
  public countSkip(): void {
    this.#skipCount += 1;
  }
}
