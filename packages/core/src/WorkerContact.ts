import type { Report } from '@toucanline/schema';
import { periods } from './periods.js';
import { WorkerClock } from './WorkerClock.js';

/** Covers clock drift between a lease that a worker granted before a restart and its clock since. */
const rebootMarginMs = 1000;

/** What the reports of a worker say about its clock, its boot and its lease. */
export class WorkerContact {
  #report: Report | undefined;
  #clock: WorkerClock | undefined;
  #leaseUntil = 0;
  #isLapsed = false;
  #needsFullReport = true;
  #hasRestarted = false;
  #latestBootAt: number | undefined;

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

  /**
   * Local monotonic time by which the worker had booted at its first report, in milliseconds: that
   * report lists all tasks that started since. Infinite before the first report.
   */
  public get latestBootAt(): number {
    return this.#latestBootAt ?? Infinity;
  }

  /** Whether the last granted lease has certainly expired. */
  public get isLapsed(): boolean {
    return this.#isLapsed;
  }

  /** Whether the worker rejected the boot id of the last report, so that it must report anew. */
  public get hasRestarted(): boolean {
    return this.#hasRestarted;
  }

  /** Whether the next report has to list all tasks. */
  public get needsFullReport(): boolean {
    return this.#needsFullReport;
  }

  /** Asks for a full report with the next renewal. */
  public requestFullReport(): void {
    this.#needsFullReport = true;
  }

  /** Notes that the worker rejected the boot id of its last report. */
  public markRestarted(): void {
    this.#hasRestarted = true;
    this.#needsFullReport = true;
  }

  /** Notes that the last granted lease has certainly expired. */
  public markLapsed(): void {
    this.#isLapsed = true;
    this.#needsFullReport = true;
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
    this.#latestBootAt ??= this.#clock.latestBootAt;
    // An earlier owner's lease holds until it ends, also before this owner grants its first one.
    this.grantLease(report.leaseUntil);
    this.#isLapsed = false;
    this.#hasRestarted = false;
    if (report.full) this.#needsFullReport = false;
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
  public isLeasedTo(now: number, epoch: number, owner: string): boolean {
    const report = this.#report;
    if (report === undefined || this.#clock === undefined || this.#hasRestarted) return false;
    if (report.epoch !== epoch || report.owner !== owner) return false;
    return (
      !this.isRecentlyBooted(now) && this.#clock.calculateUpperBoundMs(now) < report.leaseUntil
    );
  }

  /**
   * Checks whether the worker may have forgotten another owner, whose lease and tasks count until the lease
   * has ended.
   *
   * @param now - local monotonic time in milliseconds
   * @returns false once it has certainly been up for longer than a lease
   */
  public isRecentlyBooted(now: number): boolean {
    const upMs = this.#clock?.calculateLowerBoundMs(now) ?? 0;
    return upMs < periods.workerLeaseMs + rebootMarginMs;
  }
}
