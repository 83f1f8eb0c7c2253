import type { HostRecord, Report, Request, Resources, WorkerStatus } from '@toucanline/schema';
import type { Capacity } from './Capacity.js';
import { coversResources } from './coversResources.js';
import { selectFree } from './selectFree.js';
import type { TaskRecord } from './TaskRecord.js';
import { canUseAcceleratorReserve } from './canUseAcceleratorReserve.js';
import { WorkerContact } from './WorkerContact.js';
import { WorkerOccupancy } from './WorkerOccupancy.js';
import { zeroResources } from './zeroResources.js';

/** One worker as the shard owner knows it. */
export class WorkerRecord {
  public readonly id: string;
  /** Its clock, boot and lease. */
  public readonly contact = new WorkerContact();
  /** Its tasks and what they leave. */
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
   * @param onChange - called after each change of capacity or eligibility
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

  /** Address of the worker's interface. */
  public get address(): string {
    return this.#host.address;
  }

  /** Rack of the worker. */
  public get rack(): string {
    return this.contact.report?.rack ?? this.#host.rack ?? 'unknown';
  }

  /** Type of the worker's accelerators, if it has any. */
  public get acceleratorType(): string | undefined {
    return this.contact.report?.acceleratorType;
  }

  /** Relative speed; 1 is the reference. */
  public get speed(): number {
    return this.contact.report?.speed ?? 1;
  }

  /** Capacity of the worker. */
  public get totalCapacity(): Resources {
    return this.contact.report?.room ?? zeroResources;
  }

  /** Sum of the charges of the tasks that may occupy the worker. */
  public get allocated(): Resources {
    return this.occupancy.allocated;
  }

  /** Capacity that is left and not reserved. */
  public get free(): Resources {
    return this.freeCapacity.free;
  }

  /** Capacity that is left for new tasks of each kind. */
  public get freeCapacity(): Capacity {
    return this.occupancy.freeCapacity;
  }

  /** Capacity that no task occupies, reserved capacity included. */
  public get unallocated(): Resources {
    return this.occupancy.unallocated;
  }

  /** What is left for tasks if nothing is reserved or kept; running tasks may still grow into the rest. */
  public get available(): Resources {
    return this.occupancy.available;
  }

  /** Boot that the last report came from; empty before the first report. */
  public get bootId(): string {
    return this.contact.bootId;
  }

  /** Latest lease that was granted, on the worker's clock, in milliseconds. */
  public get leaseUntil(): number {
    return this.contact.leaseUntil;
  }

  /** Bounds of the worker's clock; undefined before the first report. */
  public get clock(): WorkerContact['clock'] {
    return this.contact.clock;
  }

  /** Whether the worker reported under the current epoch. */
  public get hasReported(): boolean {
    return this.contact.report !== undefined;
  }

  /** Whether the last granted lease has certainly expired. */
  public get isLapsed(): boolean {
    return this.contact.isLapsed;
  }

  /** Whether the worker is leaving, whichever sign came first. */
  public get isLeaving(): boolean {
    return this.#isLeaving || this.#isDrained || this.#host.state === 'leaving';
  }

  /** Whether new tasks may be placed here. */
  public get isEligible(): boolean {
    const mayServe = this.hasReported && !this.isLapsed && !this.isLeaving && !this.#isWithheld;
    const isIsolated = this.#isQuarantined && !(this.#isProbing && this.occupancy.taskCount === 0);
    return mayServe && !isIsolated && !this.#isReserved;
  }

  /** Tasks that may occupy the worker. */
  public get tasks(): readonly TaskRecord[] {
    return this.occupancy.tasks;
  }

  /**
   * Updates the worker's record in the host list.
   *
   * @param host - the new record
   */
  public setHost(host: HostRecord): void {
    this.#host = host;
    this.#notifyChange();
  }

  /** Notes that the worker is leaving. */
  public markLeaving(): void {
    this.#isLeaving = true;
    this.#notifyChange();
  }

  /**
   * Starts or ends an operator's drain.
   *
   * @param drained - whether the worker is drained
   */
  public setDrained(drained: boolean): void {
    this.#isDrained = drained;
    this.#notifyChange();
  }

  /**
   * Starts or ends a quarantine.
   *
   * @param quarantined - whether the worker is in quarantine
   */
  public setQuarantined(quarantined: boolean): void {
    this.#isQuarantined = quarantined;
    this.#notifyChange();
  }

  /**
   * Reads what a task of a request may take. A probe of a worker in quarantine is expected to fail, so
   * work that runs only once is not used for it.
   *
   * @param request - the request
   * @returns the amount
   */
  public readFree(request: Request): Resources {
    if (this.#isQuarantined && !request.idempotent) return zeroResources;
    return selectFree(this.freeCapacity, request.size, canUseAcceleratorReserve(request));
  }

  /**
   * Checks whether tasks of a request may start here once there is room.
   *
   * @param request - the request
   * @returns false if the worker takes no tasks, or none that may run only once
   */
  public canHost(request: Request): boolean {
    return this.isEligible && (request.idempotent || !this.#isQuarantined);
  }

  /**
   * Reserves the worker for urgent work or ends the reservation.
   *
   * @param reserved - whether only urgent work may be placed here
   */
  public setReserved(reserved: boolean): void {
    this.#isReserved = reserved;
    this.#notifyChange();
  }

  /**
   * Withholds new tasks from the worker or ends that.
   *
   * @param withheld - whether it gets none, because it may have forgotten another owner
   */
  public setWithheld(withheld: boolean): void {
    if (this.#isWithheld === withheld) return;
    this.#isWithheld = withheld;
    this.#onChange(this);
  }

  /**
   * Starts or ends a probe: a worker in quarantine may take one task at a time.
   *
   * @param probing - whether it may
   */
  public setProbing(probing: boolean): void {
    this.#isProbing = probing;
    this.#notifyChange();
  }

  /** Notes that the last granted lease has certainly expired. */
  public markLapsed(): void {
    this.contact.markLapsed();
    this.#notifyChange();
  }

  /**
   * Applies a report.
   *
   * @param report - the report
   * @param sentAt - local monotonic time before the poll was sent, in milliseconds
   * @param receivedAt - local monotonic time of the response, in milliseconds
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
   * Checks whether a task fits now.
   *
   * @param size - size of the task
   * @param acceleratorType - required type of accelerator
   * @returns true if the worker may take the task
   */
  public canTake(size: Resources, acceleratorType?: string): boolean {
    return (
      this.isEligible && this.isSuitable(size, acceleratorType) && coversResources(this.free, size)
    );
  }

  /**
   * Checks whether a task would fit on the empty worker.
   *
   * @param size - size of the task
   * @param acceleratorType - required type of accelerator
   * @returns true if the worker is large enough
   */
  public isSuitable(size: Resources, acceleratorType?: string): boolean {
    if (acceleratorType !== undefined && acceleratorType !== this.acceleratorType) return false;
    return coversResources(this.totalCapacity, size);
  }

  /**
   * Describes the worker to operators.
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
    if (this.isLapsed) return 'lapsed';
    if (this.#isDrained) return 'drained';
    return this.isLeaving ? 'leaving' : 'live';
  }
}
