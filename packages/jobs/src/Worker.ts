import type { Room, WorkerEntry } from '@toucanline/schema';
import { resources } from './resources.js';
import { formatIncarnation } from './formatIncarnation.js';
import { CommandFence } from './membership/CommandFence.js';
import type { FencingTokens } from './membership/FencingTokens.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Task } from './Task.js';
import { WorkerSpeed } from './WorkerSpeed.js';

/** One incarnation of a worker: its tasks, its clock, its leases and its health. */
export class Worker {
  /** Fencing tokens of the commands for this incarnation. */
  public readonly fence: CommandFence;
  /** Estimated duration of tasks on this worker relative to the mean of the fleet. */
  public readonly speed = new WorkerSpeed();
  #entry: WorkerEntry;
  /** Longest lease on the worker that any leader grants. */
  readonly #maxLeaseMs: number;
  readonly #tasks = new Set<Task>();
  #used: Room = resources.none;
  /** Cached free capacity, read for each waiting step of a pass; undefined after a change. */
  #free: Room | undefined;
  #isListed = true;
  #hasEntry = true;
  #isSurveyed = false;
  #isSuspended = false;
  /** Last reading of the worker's clock, taken at `#clockReadAt` on the leader's monotonic clock. */
  #clockMs = 0;
  #clockReadAt: number | undefined;
  /** Latest lease expiry that was sent, on the worker's clock. */
  #leaseUntilMs = 0;
  /** Monotonic time in milliseconds at which leases that the previous incarnation was granted have expired. */
  #previousLeasesExpireAt: number | undefined;
  #lastContactAt = -Infinity;
  #capacityConfirmedAt = -Infinity;
  #pausedUntil = 0;
  #consecutiveFailures = 0;
  #callFailures = 0;
  #lastFailureAt = -Infinity;
  /** Monotonic time in milliseconds at which the pending request for a report was sent. */
  #reportRequestedAt: number | undefined;
  /** Consecutive starts that the worker has refused. */
  #refusedStarts = 0;
  #processedThrough = 0;
  #isNumberingKnown = true;
  #acknowledgedThrough = 0;
  /** Number of the last run end in the latest report; 0 if it listed none. */
  #listedThrough = 0;
  /** Resources of stray runs, which belong to no task and are being stopped. */
  #strayResources: Room = resources.none;

  /** Id and life: identifies the incarnation. */
  public readonly incarnation: string;

  /**
   * @param entry - entry of the worker in the platform's list
   * @param maxLeaseMs - longest lease that the worker accepts, in milliseconds
   * @param tokens - issues the fencing tokens of commands
   */
  public constructor(entry: WorkerEntry, maxLeaseMs: number, tokens: FencingTokens) {
    this.#entry = entry;
    this.fence = new CommandFence(tokens);
    this.#maxLeaseMs = Math.min(maxLeaseMs, schedulingLimits.longestLeaseMs);
    this.incarnation = formatIncarnation(entry.id, entry.life);
  }

  /** Id of the worker in the platform's list. */
  public get id(): string {
    return this.#entry.id;
  }

  /**
   * Incarnation of the worker: each restart gives it another value. The value may be lower than that of an earlier
   * incarnation, since the time of day on the worker's machine may jump.
   */
  public get life(): number {
    return this.#entry.life;
  }

  /** Latest entry of this incarnation. */
  public get entry(): WorkerEntry {
    return this.#entry;
  }

  /** Rack of the worker: the label of the form `r<number>-...`; empty without one. */
  public get rack(): string {
    return this.#entry.labels.find((label) => /^r\d+-/.test(label)) ?? '';
  }

  /** Tasks that are placed on the worker. */
  public get tasks(): ReadonlySet<Task> {
    return this.#tasks;
  }

  /** Free capacity: total capacity minus the resources of placed tasks and stray runs. */
  public get free(): Room {
    this.#free ??= resources.add(
      resources.add(this.#entry.capacity, this.#used, -1),
      this.#strayResources,
      -1,
    );
    return this.#free;
  }

  /** Whether the platform lists this incarnation. */
  public get isListed(): boolean {
    return this.#isListed;
  }

  /** Whether an entry has shown this incarnation; otherwise only a report has. */
  public get hasEntry(): boolean {
    return this.#hasEntry;
  }

  /** Whether the worker has reported its runs to this leader. */
  public get isSurveyed(): boolean {
    return this.#isSurveyed;
  }

  /** Whether it gets neither commands nor leases, as recorded in the store for a successor. */
  public get isSuspended(): boolean {
    return this.#isSuspended;
  }

  /** Number of the last run end that was processed. */
  public get processedThrough(): number {
    return this.#processedThrough;
  }

  /**
   * Whether the number of the next run end is known. A new leader does not know how far its predecessor has acknowledged
   * the ends.
   */
  public get isNumberingKnown(): boolean {
    return this.#isNumberingKnown;
  }

  /** Records that the predecessor of this leader may have acknowledged run ends of the worker, and none is listed. */
  public markNumberingUnknown(): void {
    this.#isNumberingKnown = false;
  }

  /** Number of the last run end that is written to the store. */
  public get acknowledgedThrough(): number {
    return this.#acknowledgedThrough;
  }

  /**
   * Number up to which the next report request acknowledges run ends; 0 if there is nothing to acknowledge. Only ends
   * that the latest report listed are acknowledged, and none while the worker may have started anew: it would discard
   * ends of its next incarnation that have the same numbers. It may have after a failed call, while a start has no
   * response, and if a response shows another clock.
   */
  public get acknowledgement(): number {
    const { hasStartsInFlight, isRestartSuspected } = this.fence;
    if (this.#callFailures > 0 || hasStartsInFlight || isRestartSuspected) return 0;
    return this.#acknowledgeableThrough;
  }

  /** Whether run ends can be acknowledged as soon as the starts that were sent are answered. */
  public get isAcknowledgementDelayed(): boolean {
    return this.fence.hasStartsInFlight && this.#acknowledgeableThrough > 0;
  }

  get #acknowledgeableThrough(): number {
    return Math.min(this.#acknowledgedThrough, this.#listedThrough);
  }

  /**
   * Records the response of a start, or that there was none in time.
   *
   * @param clockMs - reading of the worker's clock in milliseconds; undefined without a response
   * @param sentAt - monotonic time at which the start was sent, in milliseconds
   * @param now - monotonic time in milliseconds
   */
  public endStart(clockMs: number | undefined, sentAt: number, now: number): void {
    this.fence.endStart();
    if (clockMs === undefined) return;
    // The response names no incarnation, but each incarnation has a clock of its own.
    const isOtherClock = this.#isOtherClock(clockMs, sentAt, now);
    if (isOtherClock) this.fence.suspectRestart(now);
    this.recordContact(clockMs, now);
    // That incarnation holds the lease of the start for the longest time from when it executed it.
    if (isOtherClock) this.#leaseUntilMs = clockMs + this.#maxLeaseMs;
  }

  /** Checks whether a reading of the clock does not fit the last one. */
  #isOtherClock(clockMs: number, sentAt: number, now: number): boolean {
    if (this.#clockReadAt === undefined) return false;
    const { minClockRate, clockJumpMs } = schedulingLimits;
    const elapsedMs = sentAt - this.#clockReadAt;
    const earliestMs = this.#clockMs + Math.min(elapsedMs, elapsedMs * minClockRate);
    const latestMs = this.#clockMs + now - this.#clockReadAt;
    return clockMs < earliestMs - clockJumpMs || clockMs > latestMs + clockJumpMs;
  }

  /** Monotonic time of the last response, in milliseconds. */
  public get lastContactAt(): number {
    return this.#lastContactAt;
  }

  /**
   * Checks whether the worker is being asked and does not answer, so that nothing tells how its runs ended. A worker that
   * has not been asked lately may be reachable again.
   *
   * @param now - monotonic time in milliseconds
   * @returns whether the last two calls failed, and the next one is pending or about to be sent
   */
  public isUnreachable(now: number): boolean {
    const { minLostCalls, recentFailureMs, longestCallMs } = schedulingLimits;
    if (this.#callFailures < minLostCalls) return false;
    const pendingMs = now - (this.#reportRequestedAt ?? -Infinity);
    return pendingMs <= longestCallMs || now - this.#lastFailureAt <= recentFailureMs;
  }

  /**
   * Records that a report is being requested.
   *
   * @param now - monotonic time in milliseconds
   */
  public beginReportRequest(now: number): void {
    this.#reportRequestedAt = now;
  }

  /** Records that the request for a report was answered, or that there was no response in time. */
  public endReportRequest(): void {
    this.#reportRequestedAt = undefined;
  }

  /** Number of consecutive calls without a response. */
  public get callFailures(): number {
    return this.#callFailures;
  }

  /**
   * Checks whether the worker may get commands, pauses aside.
   *
   * @returns whether it is listed and surveyed, and is neither suspended nor draining
   */
  public get isAvailable(): boolean {
    return this.#isListed && this.#isSurveyed && !this.#isSuspended && !this.#entry.isDraining;
  }

  /**
   * Checks whether new tasks may be placed on the worker.
   *
   * @param now - monotonic time in milliseconds
   * @returns whether it is listed and surveyed, and is neither suspended, draining nor paused
   */
  public canAcceptTasks(now: number): boolean {
    return this.isAvailable && now >= this.#pausedUntil;
  }

  /**
   * Checks whether the free capacity computed from the worker's report is certain.
   *
   * @param now - monotonic time in milliseconds
   * @returns false while runs that a previous leader stopped may still be ending: such runs are reported neither as
   * running nor as ended, but hold resources
   */
  public isCapacityConfirmed(now: number): boolean {
    return now >= this.#capacityConfirmedAt;
  }

  /**
   * Sets when the free capacity becomes certain.
   *
   * @param time - monotonic time in milliseconds by which all runs that a previous leader stopped have ended
   */
  public confirmCapacityAt(time: number): void {
    this.#capacityConfirmedAt = time;
  }

  /**
   * Replaces the entry with a newer one of the same incarnation.
   *
   * @param entry - newer entry
   */
  public replaceEntry(entry: WorkerEntry): void {
    this.#entry = entry;
    this.#free = undefined;
    this.#isListed = true;
    this.#hasEntry = true;
  }

  /** Records that only a report has shown this incarnation: its capacity and labels are not known yet. */
  public markEntryMissing(): void {
    this.#isListed = false;
    this.#hasEntry = false;
  }

  /** Records that the platform no longer lists the worker. */
  public unlist(): void {
    this.#isListed = false;
  }

  /** Blocks commands and leases: a successor waits only for the leases that were granted so far. */
  public suspend(): void {
    this.#isSuspended = true;
  }

  /** Allows commands and leases again, once the suspension is no longer in the store. */
  public resume(): void {
    this.#isSuspended = false;
  }

  /**
   * Adds a task and its resources.
   *
   * @param task - task that was placed on the worker
   */
  public addTask(task: Task): void {
    this.#tasks.add(task);
    this.#used = resources.add(this.#used, task.occupiedResources);
    this.#free = undefined;
  }

  /**
   * Removes a task and its resources; does nothing if it is not on the worker.
   *
   * @param task - task that left the worker
   */
  public removeTask(task: Task): void {
    if (!this.#tasks.delete(task)) return;
    this.#used = resources.add(this.#used, task.occupiedResources, -1);
    this.#free = undefined;
  }

  /**
   * Sets the resources of stray runs, which are held until the runs have stopped.
   *
   * @param held - sum of their resources
   */
  public setStrayResources(held: Room): void {
    this.#strayResources = held;
    this.#free = undefined;
  }

  /** Whether stray runs hold resources on the worker. */
  public get hasStrays(): boolean {
    return (
      resources.toProcessorEquivalents(this.#strayResources) > 0 ||
      this.#strayResources.memoryMb > 0
    );
  }

  /**
   * Records a response of the worker and its clock.
   *
   * @param clockMs - reading of the worker's clock in milliseconds
   * @param now - monotonic time in milliseconds at which the response arrived
   */
  public recordContact(clockMs: number, now: number): void {
    this.#clockMs = clockMs;
    this.#clockReadAt = now;
    // The clock starts anew with the worker, which then shortens a lease that was granted on the earlier one.
    this.#leaseUntilMs = Math.min(this.#leaseUntilMs, clockMs + this.#maxLeaseMs);
    this.#lastContactAt = now;
    this.#callFailures = 0;
  }

  /**
   * Records that the worker has reported its runs. A previous leader may have granted their leases, so these are
   * assumed to last the longest time that a worker accepts.
   */
  public markSurveyed(): void {
    if (!this.#isSurveyed) this.#leaseUntilMs = this.#clockMs + this.#maxLeaseMs;
    this.#isSurveyed = true;
  }

  /**
   * Computes the expiry of a lease that is granted now, and records it.
   *
   * @param now - monotonic time in milliseconds
   * @param longestMs - time in milliseconds after which the lease has certainly expired, also if the worker's clock runs
   * slowly; unlimited by default
   * @returns expiry on the worker's clock, in milliseconds
   */
  public extendLease(now: number, longestMs = Infinity): number {
    const elapsedMs = this.#clockReadAt === undefined ? 0 : now - this.#clockReadAt;
    const grantedMs = this.#maxLeaseMs * schedulingLimits.grantedLeaseShare;
    const limitMs = (elapsedMs + longestMs) * schedulingLimits.minClockRate;
    const leaseUntilMs = Math.floor(this.#clockMs + Math.min(elapsedMs + grantedMs, limitMs));
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, leaseUntilMs);
    return leaseUntilMs;
  }

  /**
   * Computes when all leases on the worker have certainly expired if it gets no further command.
   *
   * @returns monotonic time in milliseconds; infinite while neither the worker's clock nor a previous incarnation is
   * known
   */
  public get leasesExpireAt(): number {
    const { minClockRate, leaseExpiryMarginMs } = schedulingLimits;
    if (this.#clockReadAt === undefined) return this.#previousLeasesExpireAt ?? Infinity;
    const leftMs = Math.max(0, this.#leaseUntilMs - this.#clockMs) / minClockRate;
    return Math.max(
      this.#clockReadAt + leftMs + leaseExpiryMarginMs,
      this.#previousLeasesExpireAt ?? 0,
    );
  }

  /**
   * Takes over the leases of the previous incarnation, since this one may have executed the commands that granted them.
   *
   * @param previous - previous incarnation under the same id
   */
  public inheritLeases(previous: Worker): void {
    const { leasesExpireAt } = previous;
    if (Number.isFinite(leasesExpireAt)) this.#previousLeasesExpireAt = leasesExpireAt;
  }

  /**
   * Records a call without a response and pauses the worker with exponential backoff. If the worker responded to
   * another call meanwhile, only that one call was lost and nothing changes.
   *
   * @param now - monotonic time in milliseconds
   * @param sentAt - monotonic time at which the call was sent, in milliseconds
   */
  public recordCallFailure(now: number, sentAt: number): void {
    if (this.#lastContactAt > sentAt) return;
    this.#callFailures += 1;
    this.#lastFailureAt = now;
    this.pauseUntil(now + this.#computeBackoffMs(this.#callFailures));
  }

  /**
   * Records a start that the worker has refused, and pauses it with exponential backoff. A worker that answers is
   * reachable, so its tasks keep their leases.
   *
   * @param now - monotonic time in milliseconds
   */
  public recordRefusedStart(now: number): void {
    this.#refusedStarts += 1;
    this.pauseUntil(now + this.#computeBackoffMs(this.#refusedStarts));
  }

  /** Records a start that the worker has accepted. */
  public recordAcceptedStart(): void {
    this.#refusedStarts = 0;
  }

  /**
   * Pauses the placement of new tasks.
   *
   * @param time - monotonic time in milliseconds at which the pause ends
   */
  public pauseUntil(time: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, time);
  }

  /**
   * Records the outcome of a run and quarantines the worker after too many consecutive failures.
   *
   * @param isFailure - whether the run failed
   * @param now - monotonic time in milliseconds
   */
  public recordRunOutcome(isFailure: boolean, now: number): void {
    this.#consecutiveFailures = isFailure ? this.#consecutiveFailures + 1 : 0;
    const { quarantineFailures, quarantineMs } = schedulingLimits;
    if (this.#consecutiveFailures < quarantineFailures) return;
    this.pauseUntil(now + quarantineMs);
    this.#consecutiveFailures -= 1;
  }

  /**
   * Records that the run ends up to a number were processed.
   *
   * @param number - number of the last run end that was processed
   */
  public markProcessed(number: number): void {
    this.#processedThrough = Math.max(this.#processedThrough, number);
    this.#isNumberingKnown = true;
  }

  /**
   * Records which run ends the latest report listed.
   *
   * @param number - number of the last one; 0 if it listed none
   */
  public recordListedEnds(number: number): void {
    this.#listedThrough = number;
  }

  /**
   * Records that the run ends up to a number are written to the store.
   *
   * @param number - number of the last run end that was written
   */
  public acknowledge(number: number): void {
    this.#acknowledgedThrough = Math.max(this.#acknowledgedThrough, number);
  }

  /** Computes the pause after a number of consecutive failures, in milliseconds. */
  #computeBackoffMs(failures: number): number {
    const { workerBackoffMs, maxWorkerBackoffShare } = schedulingLimits;
    const longestMs = this.#maxLeaseMs * maxWorkerBackoffShare;
    return Math.min(workerBackoffMs * 2 ** (failures - 1), longestMs);
  }
}
