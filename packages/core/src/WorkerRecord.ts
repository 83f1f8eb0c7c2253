import type { HostRecord, Report, Request, Resources, WorkerStatus } from '@toucanline/schema';
import type { Capacity } from './Capacity.js';
import { coversResources } from './coversResources.js';
import { selectFree } from './selectFree.js';
import type { TaskRecord } from './TaskRecord.js';
import { canUseAcceleratorReserve } from './canUseAcceleratorReserve.js';
import { WorkerContact } from './WorkerContact.js';
import { WorkerOccupancy } from './WorkerOccupancy.js';
import { zeroResources } from './zeroResources.js';

/** State of one worker, as known to the owner of its shard. */
export class WorkerRecord {
  /** Name of the worker. */
  public readonly id: string;
  /** Boot, clock and lease of the worker. */
  public readonly contact = new WorkerContact();
  /** Tasks of the worker and the capacity that they use. */
  public readonly occupancy: WorkerOccupancy;
  readonly #onChange: (worker: WorkerRecord) => void;
  #host: HostRecord;
  #isLeaving = false;
  #isDrained = false;
  #isQuarantined = false;
  #isReserved = false;
  #isWithheld = false;
  #isProbing = false;

  /**
   * @param host - the worker's record in the host list
   * @param onChange - called after each change of the capacity or the eligibility
   */
  public constructor(host: HostRecord, onChange: (worker: WorkerRecord) => void = () => undefined) {
    this.id = host.id;
    this.#host = host;
    this.#onChange = onChange;
    this.occupancy = new WorkerOccupancy(
      () => this.totalCapacity,
      () => {
        this.#onChange(this);
      },
    );
  }

  /** The worker's record in the host list. */
  public get host(): HostRecord {
    return this.#host;
  }

  /** Network address of the worker. */
  public get address(): string {
    return this.#host.address;
  }

  /** Rack of the worker; `unknown` if neither its reports nor the host list name one. */
  public get rack(): string {
    return this.contact.report?.rack ?? this.#host.rack ?? 'unknown';
  }

  /** Type of the worker's accelerators; undefined if it has none. */
  public get acceleratorType(): string | undefined {
    return this.contact.report?.acceleratorType;
  }

  /** Speed relative to the reference worker, which has 1. */
  public get speed(): number {
    return this.contact.report?.speed ?? 1;
  }

  /** Total capacity of the worker; zero before its first report. */
  public get totalCapacity(): Resources {
    return this.contact.report?.room ?? zeroResources;
  }

  /** Sum of the charges of the tasks that may occupy the worker. */
  public get allocated(): Resources {
    return this.occupancy.allocated;
  }

  /** Free capacity for work that may use the accelerator reserve. */
  public get free(): Resources {
    return this.freeCapacity.free;
  }

  /** Free capacity for new tasks, by kind of work. */
  public get freeCapacity(): Capacity {
    return this.occupancy.freeCapacity;
  }

  /** Capacity that no task occupies, including reserved capacity. */
  public get unallocated(): Resources {
    return this.occupancy.unallocated;
  }

  /** Capacity for new tasks if nothing were reserved, less what running tasks may still grow by. */
  public get available(): Resources {
    return this.occupancy.available;
  }

  /** Boot id in the last report; empty before the first one. */
  public get bootId(): string {
    return this.contact.bootId;
  }

  /** Latest end of a granted lease, on the worker's clock, in milliseconds. */
  public get leaseUntil(): number {
    return this.contact.leaseUntil;
  }

  /** Bounds of the worker's clock; undefined before the first report. */
  public get clock(): WorkerContact['clock'] {
    return this.contact.clock;
  }

  /** Whether the worker has reported under the current epoch. */
  public get hasReported(): boolean {
    return this.contact.report !== undefined;
  }

  /** Whether the last granted lease has certainly expired. */
  public get isLeaseExpired(): boolean {
    return this.contact.isLeaseExpired;
  }

  /** Whether the worker is leaving, by its own report, by the host list or by an operator's drain. */
  public get isLeaving(): boolean {
    return this.#isLeaving || this.#isDrained || this.#host.state === 'leaving';
  }

  /** Whether new tasks may be placed here. */
  public get isEligible(): boolean {
    const canAcceptTasks =
      this.hasReported && !this.isLeaseExpired && !this.isLeaving && !this.#isWithheld;
    const isBlockedByQuarantine =
      this.#isQuarantined && !(this.#isProbing && this.occupancy.taskCount === 0);
    return canAcceptTasks && !isBlockedByQuarantine && !this.#isReserved;
  }

  /** Tasks that may occupy the worker. */
  public get tasks(): readonly TaskRecord[] {
    return this.occupancy.tasks;
  }

  /**
   * Applies a new record of the host list.
   *
   * @param host - the new record
   */
  public setHost(host: HostRecord): void {
    this.#host = host;
    this.#notifyChange();
  }

  /** Marks the worker as leaving. */
  public markLeaving(): void {
    this.#isLeaving = true;
    this.#notifyChange();
  }

  /**
   * Starts or ends an operator's drain.
   *
   * @param isDrained - whether the worker is drained
   */
  public setDrained(isDrained: boolean): void {
    this.#isDrained = isDrained;
    this.#notifyChange();
  }

  /**
   * Starts or ends a quarantine.
   *
   * @param isQuarantined - whether the worker is in quarantine
   */
  public setQuarantined(isQuarantined: boolean): void {
    this.#isQuarantined = isQuarantined;
    this.#notifyChange();
  }

  /**
   * Reads the free capacity for a task of a request. On a worker in quarantine it is zero unless the request is
   * idempotent: a probe is likely to fail, and other work runs only once.
   *
   * @param request - the request
   * @returns the amount
   */
  public readFree(request: Request): Resources {
    if (this.#isQuarantined && !request.idempotent) return zeroResources;
    return selectFree(this.freeCapacity, request.size, canUseAcceleratorReserve(request));
  }

  /**
   * Checks whether tasks of a request may start here once there is enough free capacity.
   *
   * @param request - the request
   * @returns false if the worker takes no new tasks, or only idempotent ones and the request is not
   */
  public canHost(request: Request): boolean {
    return this.isEligible && (request.idempotent || !this.#isQuarantined);
  }

  /**
   * Reserves the worker for urgent work, or ends the reservation.
   *
   * @param isReserved - whether only urgent work may be placed here
   */
  public setReserved(isReserved: boolean): void {
    this.#isReserved = isReserved;
    this.#notifyChange();
  }

  /**
   * Withholds new tasks from the worker, or allows them again.
   *
   * @param isWithheld - whether it gets none, because it may have lost the lease of another owner
   */
  public setWithheld(isWithheld: boolean): void {
    if (this.#isWithheld === isWithheld) return;
    this.#isWithheld = isWithheld;
    this.#onChange(this);
  }

  /**
   * Starts or ends a probe, during which a worker in quarantine may run one task at a time.
   *
   * @param isProbing - whether a probe is in progress
   */
  public setProbing(isProbing: boolean): void {
    this.#isProbing = isProbing;
    this.#notifyChange();
  }

  /** Marks the last granted lease as certainly expired. */
  public markLeaseExpired(): void {
    this.contact.markLeaseExpired();
    this.#notifyChange();
  }

  /**
   * Applies a report.
   *
   * @param report - the report
   * @param sentAt - local monotonic time before the poll was sent, in milliseconds
   * @param receivedAt - local monotonic time after the report was received, in milliseconds
   */
  public applyReport(report: Report, sentAt: number, receivedAt: number): void {
    this.contact.applyReport(report, sentAt, receivedAt);
    this.#isLeaving = report.state === 'leaving';
    this.#notifyChange();
  }

  /**
   * Adds a task that may occupy the worker.
   *
   * @param task - the task
   */
  public addTask(task: TaskRecord): void {
    this.occupancy.add(task);
  }

  /**
   * Checks whether a task fits into the free capacity now.
   *
   * @param size - size of the task
   * @param acceleratorType - required type of accelerator; undefined if any will do
   * @returns true if the worker may take the task
   */
  public canTake(size: Resources, acceleratorType?: string): boolean {
    return (
      this.isEligible && this.isSuitable(size, acceleratorType) && coversResources(this.free, size)
    );
  }

  /**
   * Checks whether a task would fit if the worker were empty.
   *
   * @param size - size of the task
   * @param acceleratorType - required type of accelerator; undefined if any will do
   * @returns true if the worker is large enough
   */
  public isSuitable(size: Resources, acceleratorType?: string): boolean {
    if (acceleratorType !== undefined && acceleratorType !== this.acceleratorType) return false;
    return coversResources(this.totalCapacity, size);
  }

  /**
   * Describes the status of the worker for operators.
   *
   * @returns the status
   */
  public describe(): WorkerStatus {
    return {
      worker: this.id,
      rack: this.rack,
      state: this.#describeState(),
      room: this.totalCapacity,
      allocated: this.allocated,
      tasks: this.occupancy.taskCount,
      quarantined: this.#isQuarantined,
    };
  }

  #notifyChange(): void {
    this.occupancy.refresh();
    this.#onChange(this);
  }

  #describeState(): WorkerStatus['state'] {
    if (!this.hasReported) return 'unreached';
    if (this.isLeaseExpired) return 'lapsed';
    if (this.#isDrained) return 'drained';
    return this.isLeaving ? 'leaving' : 'live';
  }
}
