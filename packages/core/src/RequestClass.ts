import type { Resources } from '@toucanline/schema';
import { IndexedHeap } from './IndexedHeap.js';
import type { RequestRecord } from './RequestRecord.js';
import { canUseAcceleratorReserve } from './canUseAcceleratorReserve.js';

/** Waiting requests that are equal for placement, in the order of their arrival. */
export class RequestClass {
  public readonly name: string;
  public readonly team: string;
  public readonly urgent: boolean;
  public readonly isGang: boolean;
  public readonly size: Resources;
  public readonly acceleratorType: string | undefined;
  /** Whether its requests may take what is kept beside free accelerators. */
  public readonly canUseAcceleratorReserve: boolean;
  /** Tasks that have to start together. */
  public readonly gangSize: number;
  /** Equal for all classes that fit on the same workers. */
  public readonly shape: string;
  readonly #requests = new IndexedHeap<RequestRecord>();
  #skipCount = 0;

  /**
   * @param name - name of the class
   * @param record - its first request
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
    // Other kinds start task by task, so the number of tasks does not decide whether they fit.
    this.gangSize = this.isGang ? tasks : 1;
    const parts = [processors, memoryMb, accelerators, acceleratorType ?? '', this.gangSize];
    // Work that runs only once does not fit on workers in quarantine.
    this.shape = [...parts, this.isGang, urgent, idempotent].join('|');
  }

  /** Number of waiting requests. */
  public get count(): number {
    return this.#requests.size;
  }

  /** How often a class of the same team was preferred since a request of this one last left. */
  public get skipCount(): number {
    return this.#skipCount;
  }

  /** Oldest request, if there is any. */
  public get first(): RequestRecord | undefined {
    return this.#requests.first;
  }

  /** Position of the oldest request in the order of arrival. */
  public get firstArrival(): number {
    return this.#requests.firstKey;
  }

  /**
   * Adds a request at its place in the order of arrival.
   *
   * @param record - the request
   * @param order - its position
   */
  public add(record: RequestRecord, order: number): void {
    this.#requests.set(record, order);
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

  /** Notes that a class of the same team was preferred, because its shape matches better. */
  public countSkip(): void {
    this.#skipCount += 1;
  }
}
