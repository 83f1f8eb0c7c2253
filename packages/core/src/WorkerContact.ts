import type { Report } from '@toucanline/schema';
import { periods } from './periods.js';
import { WorkerClock } from './WorkerClock.js';

/** Margin for clock drift between a lease from before a worker's restart and its uptime since, in milliseconds. */
const rebootMarginMs = 1000;

/** Boot, clock and lease of a worker, as known from its reports. */
export class WorkerContact {
  #report: Report | undefined;
  #clock: WorkerClock | undefined;
  #leaseUntil = 0;
  #isLeaseExpired = false;
  #needsFullReport = true;
  #hasRestarted = false;
  #latestBootAt: number | undefined;

  /** Last report; undefined before the first one. */
  public get report(): Report | undefined {
    return this.#report;
  }

  /** Boot id in the last report; empty before the first one. */
  public get bootId(): string {
    return this.#report?.bootId ?? '';
  }

  /** Sequence number of the last applied report; 0 before the first one. */
  public get sequence(): number {
    return this.#report?.sequence ?? 0;
  }

  /** Latest end of a granted lease, on the worker's clock, in milliseconds. */
  public get leaseUntil(): number {
    return this.#leaseUntil;
  }

  /** Bounds of the worker's clock; undefined before the first report. */
  public get clock(): WorkerClock | undefined {
    return this.#clock;
  }

  /**
   * Local monotonic time by which the worker had certainly booted, as of its first report, in milliseconds. That
   * report lists all tasks that started since the boot. Infinite before the first report.
   */
  public get latestBootAt(): number {
    return this.#latestBootAt ?? Infinity;
  }

  /** Whether the last granted lease has certainly expired. */
  public get isLeaseExpired(): boolean {
    return this.#isLeaseExpired;
  }

  /** Whether the worker rejected the boot id of its last report, so that a new report is needed. */
  public get hasRestarted(): boolean {
    return this.#hasRestarted;
  }

  /** Whether the next report must be a full one, which lists all tasks. */
  public get needsFullReport(): boolean {
    return this.#needsFullReport;
  }

  /** Requests a full report with the next renewal. */
  public requestFullReport(): void {
    this.#needsFullReport = true;
  }

  /** Marks the worker as restarted: it rejected the boot id of its last report. */
  public markRestarted(): void {
    this.#hasRestarted = true;
    this.#needsFullReport = true;
  }

  /** Marks the last granted lease as certainly expired. */
  public markLeaseExpired(): void {
    this.#isLeaseExpired = true;
    this.#needsFullReport = true;
  }

  /**
   * Records a lease before it is granted. The end of the lease never moves back.
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
   * @param receivedAt - local monotonic time after the report was received, in milliseconds
   */
  public applyReport(report: Report, sentAt: number, receivedAt: number): void {
    if (report.bootId !== this.bootId) this.#leaseUntil = 0;
    this.#report = report;
    this.#clock = new WorkerClock(sentAt, receivedAt, report.clockMs);
    this.#latestBootAt ??= this.#clock.latestBootAt;
    // The lease of a previous owner stays in force until it expires, also before this owner grants its first one.
    this.grantLease(report.leaseUntil);
    this.#isLeaseExpired = false;
    this.#hasRestarted = false;
    if (report.full) this.#needsFullReport = false;
  }

  /**
   * Checks whether the worker is certainly leased to an owner. A worker that booted within the last lease
   * period does not count: its restart may have lost the lease of another owner.
   *
   * @param now - monotonic time in milliseconds
   * @param epoch - epoch of the ownership
   * @param owner - name of the owner
   * @returns true if the worker accepts no lease from another provisional owner at this time
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
   * Checks whether the worker may have booted within the last lease period. It may then have lost the lease of
   * another owner, whose tasks count until that lease has expired.
   *
   * @param now - monotonic time in milliseconds
   * @returns false once the worker has certainly been up for longer than a lease
   */
  public isRecentlyBooted(now: number): boolean {
    const upMs = this.#clock?.calculateLowerBoundMs(now) ?? 0;
    return upMs < periods.workerLeaseMs + rebootMarginMs;
  }
}
