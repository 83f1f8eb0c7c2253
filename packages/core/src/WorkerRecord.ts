import type { HostRecord, Report, Request, Resources, WorkerStatus } from '@toucanline/schema';
import { addResources } from './addResources.js';
import type { Capacity } from './Capacity.js';
import { coversResources } from './coversResources.js';
import { minResources } from './minResources.js';
import { periods } from './periods.js';
import { scaleResources } from './scaleResources.js';
import { selectFree } from './selectFree.js';
import { subtractResources } from './subtractResources.js';
import type { TaskRecord } from './TaskRecord.js';
import { usesKept } from './usesKept.js';
import { WorkerClock } from './WorkerClock.js';
import { zeroResources } from './zeroResources.js';

/** Covers clock drift between a lease that a worker granted before a restart and its clock since. */
const rebootMarginMs = 1000;

/**
 * Part of a worker with accelerators that work without accelerators may always use. A quarter of the memory
 * left a quarter of the accelerators idle, because their work needs all of it.
 */
const openFraction = 1 / 16;
/** Tasks above this part of a worker do not wait for what is kept: it might leave them no room for ever. */
const largeFraction = 0.25;

/** One worker as the shard owner knows it. */
export class WorkerRecord {
  public readonly id: string;
  readonly #tasks = new Map<string, TaskRecord>();
  #host: HostRecord;
  #report: Report | undefined;
  #clock: WorkerClock | undefined;
  #leaseUntil = 0;
  #allocated: Resources = zeroResources;
  #leaving = false;
  #drained = false;
  #quarantined = false;
  #reserved = false;
  #withheld = false;
  #probing = false;
  #lapsed = false;
  #wantsFull = true;
  #restarted = false;
  #held: Resources = zeroResources;
  #margin: Resources = zeroResources;
  #kept: Resources = zeroResources;
  #capacity: Capacity | undefined;
  readonly #onChange: (worker: WorkerRecord) => void;
  #bootedBy: number | undefined;

  /**
   * @param host - the worker's record in the host list
   * @param onChange - called after each change of capacity or eligibility
   */
  public constructor(host: HostRecord, onChange: (worker: WorkerRecord) => void = () => undefined) {
    this.id = host.id;
    this.#host = host;
    this.#onChange = onChange;
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
    return this.#report?.rack ?? this.#host.rack ?? 'unknown';
  }

  /** Type of the worker's accelerators, if it has any. */
  public get acceleratorType(): string | undefined {
    return this.#report?.acceleratorType;
  }

  /** Relative speed; 1 is the reference. */
  public get speed(): number {
    return this.#report?.speed ?? 1;
  }

  /** Capacity of the worker. */
  public get room(): Resources {
    return this.#report?.room ?? zeroResources;
  }

  /** Sum of the charges of the tasks that may occupy the worker. */
  public get allocated(): Resources {
    return this.#allocated;
  }

  /** Capacity that is left and not reserved. */
  public get free(): Resources {
    return this.capacity.free;
  }

  /** Capacity that is left for new tasks of each kind. */
  public get capacity(): Capacity {
    this.#capacity ??= this.#measureCapacity();
    return this.#capacity;
  }

  /** Capacity that no task occupies, reserved capacity included. */
  public get unallocated(): Resources {
    return subtractResources(this.room, this.#allocated);
  }

  /** What is left for tasks if nothing is reserved or kept; running tasks may still grow into the rest. */
  public get available(): Resources {
    return subtractResources(this.unallocated, this.#margin);
  }

  /** Last report; undefined before the first one. */
  public get report(): Report | undefined {
    return this.#report;
  }

  /** Boot that the last report came from; empty before the first report. */
  public get bootId(): string {
    return this.#report?.bootId ?? '';
  }

  /** Sequence number of the last applied report. */
  public get sequence(): number {
    return this.#report?.sequence ?? 0;
  }

  /** Latest lease that was granted, on the worker's clock, in milliseconds. */
  public get leaseUntil(): number {
    return this.#leaseUntil;
  }

  /** Bounds of the worker's clock; undefined before the first report. */
  public get clock(): WorkerClock | undefined {
    return this.#clock;
  }

  /** Whether the worker reported under the current epoch. */
  public get hasReported(): boolean {
    return this.#report !== undefined;
  }

  /**
   * Local monotonic time by which the worker had booted at its first report, in milliseconds: that
   * report lists all tasks that started since. Infinite before the first report.
   */
  public get bootedBy(): number {
    return this.#bootedBy ?? Infinity;
  }

  /** Whether the last granted lease has certainly expired. */
  public get isLapsed(): boolean {
    return this.#lapsed;
  }

  /** Whether the worker rejected the boot id of the last report, so that it must report anew. */
  public get hasRestarted(): boolean {
    return this.#restarted;
  }

  /** Whether the next report has to list all tasks. */
  public get wantsFull(): boolean {
    return this.#wantsFull;
  }

  /** Whether the worker is leaving, whichever sign came first. */
  public get isLeaving(): boolean {
    return this.#leaving || this.#drained || this.#host.state === 'leaving';
  }

  /** Whether capacity is kept for a reservation. */
  public get hasReservation(): boolean {
    return this.#held !== zeroResources;
  }

  /** Whether processors and memory are kept beside free accelerators. */
  public get isKeeping(): boolean {
    return this.room.accelerators > 0 && this.#kept !== zeroResources;
  }

  /** Whether new tasks may be placed here. */
  public get isEligible(): boolean {
    const mayServe = this.hasReported && !this.#lapsed && !this.isLeaving && !this.#withheld;
    const isIsolated = this.#quarantined && !(this.#probing && this.#tasks.size === 0);
    return mayServe && !isIsolated && !this.#reserved;
  }

  /** Tasks that may occupy the worker. */
  public get tasks(): readonly TaskRecord[] {
    return [...this.#tasks.values()];
  }

  /**
   * Updates the worker's record in the host list.
   *
   * @param host - the new record
   */
  public setHost(host: HostRecord): void {
    this.#host = host;
    this.#noteChange();
  }

  /** Notes that the worker is leaving. */
  public markLeaving(): void {
    this.#leaving = true;
    this.#noteChange();
  }

  /**
   * Starts or ends an operator's drain.
   *
   * @param drained - whether the worker is drained
   */
  public setDrained(drained: boolean): void {
    this.#drained = drained;
    this.#noteChange();
  }

  /**
   * Starts or ends a quarantine.
   *
   * @param quarantined - whether the worker is in quarantine
   */
  public setQuarantined(quarantined: boolean): void {
    this.#quarantined = quarantined;
    this.#noteChange();
  }

  /**
   * Keeps capacity for a gang; it may be more than is free now.
   *
   * @param held - amount that other work may not take
   */
  public hold(held: Resources): void {
    this.#held = held;
    this.#noteChange();
  }

  /**
   * Keeps processors and memory beside each free accelerator, so that other work does not strand it.
   *
   * @param kept - amount per free accelerator
   */
  public keepPerAccelerator(kept: Resources): void {
    this.#kept = kept;
    if (this.room.accelerators > 0) this.#noteChange();
  }

  /**
   * Reads what a task of a request may take. A probe of a worker in quarantine is expected to fail, so
   * work that runs only once is not used for it.
   *
   * @param request - the request
   * @returns the amount
   */
  public readFree(request: Request): Resources {
    if (this.#quarantined && !request.idempotent) return zeroResources;
    return selectFree(this.capacity, request.size, usesKept(request));
  }

  /**
   * Checks whether tasks of a request may start here once there is room.
   *
   * @param request - the request
   * @returns false if the worker takes no tasks, or none that may run only once
   */
  public mayHost(request: Request): boolean {
    return this.isEligible && (request.idempotent || !this.#quarantined);
  }

  /**
   * Reserves the worker for urgent work or ends the reservation.
   *
   * @param reserved - whether only urgent work may be placed here
   */
  public setReserved(reserved: boolean): void {
    this.#reserved = reserved;
    this.#noteChange();
  }

  /**
   * Withholds new tasks from the worker or ends that.
   *
   * @param withheld - whether it gets none, because it may have forgotten another owner
   */
  public setWithheld(withheld: boolean): void {
    if (this.#withheld === withheld) return;
    this.#withheld = withheld;
    this.#onChange(this);
  }

  /**
   * Starts or ends a probe: a worker in quarantine may take one task at a time.
   *
   * @param probing - whether it may
   */
  public setProbing(probing: boolean): void {
    this.#probing = probing;
    this.#noteChange();
  }

  /** Asks for a full report with the next renewal. */
  public requestFull(): void {
    this.#wantsFull = true;
  }

  /** Notes that the worker rejected the boot id of its last report. */
  public markRestarted(): void {
    this.#restarted = true;
    this.#wantsFull = true;
  }

  /** Notes that the last granted lease has certainly expired. */
  public markLapsed(): void {
    this.#lapsed = true;
    this.#wantsFull = true;
    this.#noteChange();
  }

  /**
   * Notes a lease that is about to be granted.
   *
   * @param leaseUntil - end of the lease on the worker's clock, in milliseconds
   */
  public grantLease(leaseUntil: number): void {
    this.#leaseUntil = Math.max(this.#leaseUntil, leaseUntil);
  }

  /**
   * Applies a report.
   *
   * @param report - the report
   * @param sentAt - local monotonic time before the poll was sent, in milliseconds
   * @param receivedAt - local monotonic time of the response, in milliseconds
   */
  public applyReport(report: Report, sentAt: number, receivedAt: number): void {
    if (report.bootId !== this.bootId) this.#leaseUntil = 0;
    this.#report = report;
    this.#clock = new WorkerClock(sentAt, receivedAt, report.clockMs);
    this.#bootedBy ??= this.#clock.bootedBy;
    // An earlier owner's lease holds until it ends, also before this owner grants its first one.
    this.grantLease(report.leaseUntil);
    this.#lapsed = false;
    this.#restarted = false;
    this.#leaving = report.state === 'leaving';
    if (report.full) this.#wantsFull = false;
    this.#noteChange();
  }

  /**
   * Checks whether the worker is certainly leased to an owner. A worker that booted within the last
   * lease period does not count: it may have forgotten the lease of another owner with its restart.
   *
   * @param now - local monotonic time in milliseconds
   * @param epoch - epoch of the ownership
   * @param owner - name of the owner
   * @returns true if the worker grants no lease to another provisional owner at this moment
   */
  public isHeld(now: number, epoch: number, owner: string): boolean {
    const report = this.#report;
    if (report === undefined || this.#clock === undefined || this.#restarted) return false;
    if (report.epoch !== epoch || report.owner !== owner) return false;
    return !this.hasForgotten(now) && this.#clock.readUpperBound(now) < report.leaseUntil;
  }

  /**
   * Checks whether the worker may have forgotten another owner, whose lease and tasks count until the lease
   * has ended.
   *
   * @param now - local monotonic time in milliseconds
   * @returns false once it has certainly been up for longer than a lease
   */
  public hasForgotten(now: number): boolean {
    const upMs = this.#clock?.readLowerBound(now) ?? 0;
    return upMs < periods.workerLeaseMs + rebootMarginMs;
  }

  /**
   * Adds a task that may occupy the worker.
   *
   * @param task - the task
   */
  public addTask(task: TaskRecord): void {
    this.#tasks.set(task.id, task);
    this.#allocated = addResources(this.#allocated, task.charge);
    this.#noteChange();
  }

  /**
   * Removes a task that certainly does not occupy the worker any more.
   *
   * @param taskId - identifier of the task
   */
  public removeTask(taskId: string): void {
    if (this.#tasks.delete(taskId)) this.recount();
  }

  /** Sums the charges of all tasks again. */
  public recount(): void {
    let sum = zeroResources;
    let margin = zeroResources;
    for (const task of this.#tasks.values()) {
      sum = addResources(sum, task.charge);
      margin = addResources(margin, task.margin);
    }
    this.#allocated = sum;
    this.#margin = margin;
    this.#noteChange();
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
    return coversResources(this.room, size);
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
      room: this.room,
      allocated: this.#allocated,
      tasks: this.#tasks.size,
      quarantined: this.#quarantined,
    };
  }

  #noteChange(): void {
    this.#capacity = undefined;
    this.#onChange(this);
  }

  /** A part of the worker is open to all work, so that no team waits for ever for others to end. */
  #measureCapacity(): Capacity {
    const { room } = this;
    const free = subtractResources(this.available, this.#held);
    if (room.accelerators === 0) return { free, open: free, largest: room };
    const largest = scaleResources(room, largeFraction);
    const mostPart = (1 - openFraction) * (free.accelerators / room.accelerators);
    const most = scaleResources(room, mostPart);
    const kept = minResources(scaleResources(this.#kept, free.accelerators), most);
    const open = { ...subtractResources(free, kept), accelerators: free.accelerators };
    return { free, open, largest };
  }

  #describeState(): WorkerStatus['state'] {
    if (!this.hasReported) return 'unreached';
    if (this.#lapsed) return 'lapsed';
    if (this.#drained) return 'drained';
    return this.isLeaving ? 'leaving' : 'live';
  }
}
