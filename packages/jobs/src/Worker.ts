import type { Room, WorkerEntry } from '@toucanline/schema';
import { resources } from './resources.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { Task } from './Task.js';
import { WorkerSpeed } from './WorkerSpeed.js';

/** One incarnation of a worker, with what it runs and what is known of its clock and health. */
export class Worker {
  /** How long tasks take here relative to other workers. */
  public readonly speed = new WorkerSpeed();
  #entry: WorkerEntry;
  readonly #tasks = new Set<Task>();
  #used: Room = resources.none;
  /** Free room; undefined after a change. Planning reads it for each waiting step. */
  #free: Room | undefined;
  #isListed = true;
  #isSurveyed = false;
  #isSuspended = false;
  /** The worker's clock at a known time of ours. */
  #clockMs = 0;
  #clockReadAt: number | undefined;
  /** Latest lease end that was sent, on the worker's clock. */
  #leaseUntilMs = 0;
  #lastContactAt = -Infinity;
  #capacityConfirmedAt = -Infinity;
  #pausedUntil = 0;
  #consecutiveFailures = 0;
  #callFailures = 0;
  #processedThrough = 0;
  #acknowledgedThrough = 0;
  /** Room of runs that no task has and that are being stopped. */
  #strayResources: Room = resources.none;

  /** @param entry - entry of the worker in the platform's list */
  public constructor(entry: WorkerEntry) {
    this.#entry = entry;
  }

  /** Id in the platform's list. */
  public get id(): string {
    return this.#entry.id;
  }

  /** Incarnation. */
  public get life(): number {
    return this.#entry.life;
  }

  /** Newest entry. */
  public get entry(): WorkerEntry {
    return this.#entry;
  }

  /** Rack label: racks are the labels with a dash after a letter and a number. */
  public get rack(): string {
    return this.#entry.labels.find((label) => /^r\d+-/.test(label)) ?? '';
  }

  /** Tasks that occupy the worker. */
  public get tasks(): ReadonlySet<Task> {
    return this.#tasks;
  }

  /** Room that is not occupied. */
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

  /** Whether the worker told this leader what it runs. */
  public get isSurveyed(): boolean {
    return this.#isSurveyed;
  }

  /** Whether it gets neither orders nor leases, because a successor was told so. */
  public get isSuspended(): boolean {
    return this.#isSuspended;
  }

  /** Number of the last end that was processed. */
  public get processedThrough(): number {
    return this.#processedThrough;
  }

  /** Number of the last end that lies in the store. */
  public get acknowledgedThrough(): number {
    return this.#acknowledgedThrough;
  }

  /** Monotonic time of the last answer. */
  public get lastContactAt(): number {
    return this.#lastContactAt;
  }

  /** Calls in a row without an answer. */
  public get callFailures(): number {
    return this.#callFailures;
  }

  /**
   * Tells whether new tasks may go to the worker.
   *
   * @param now - monotonic time
   * @returns whether it is listed, answers, and is neither draining nor paused
   */
  public canAcceptTasks(now: number): boolean {
    return (
      this.#isListed &&
      this.#isSurveyed &&
      !this.#isSuspended &&
      !this.#entry.isDraining &&
      now >= this.#pausedUntil
    );
  }

  /**
   * Tells whether the room that the worker reports as free surely is.
   *
   * @param now - monotonic time
   * @returns false while runs may be ending that an earlier leader stopped: they are on neither list
   */
  public isCapacityConfirmed(now: number): boolean {
    return now >= this.#capacityConfirmedAt;
  }

  /** @param time - monotonic time by which all runs have ended that an earlier leader stopped */
  public confirmCapacityAt(time: number): void {
    this.#capacityConfirmedAt = time;
  }

  /**
   * Takes a newer entry of the same incarnation.
   *
   * @param entry - the entry
   */
  public replaceEntry(entry: WorkerEntry): void {
    this.#entry = entry;
    this.#free = undefined;
    this.#isListed = true;
  }

  /** Notes that the platform no longer lists the worker. */
  public unlist(): void {
    this.#isListed = false;
  }

  /** Keeps orders and leases away: a successor counts only on the leases granted so far. */
  public suspend(): void {
    this.#isSuspended = true;
  }

  /** Lets orders and leases through again, once the suspension is no longer in the store. */
  public resume(): void {
    this.#isSuspended = false;
  }

  /** @param task - task that occupies the worker now */
  public addTask(task: Task): void {
    this.#tasks.add(task);
    this.#used = resources.add(this.#used, task.occupiedResources);
    this.#free = undefined;
  }

  /** @param task - task that left the worker */
  public removeTask(task: Task): void {
    if (!this.#tasks.delete(task)) return;
    this.#used = resources.add(this.#used, task.occupiedResources, -1);
    this.#free = undefined;
  }

  /**
   * Notes runs that no task has: they take room until they have stopped.
   *
   * @param room - their room
   */
  public setStrayResources(room: Room): void {
    this.#strayResources = room;
    this.#free = undefined;
  }

  /** Whether runs that no task has are left. */
  public get hasStrays(): boolean {
    return (
      resources.toProcessorEquivalents(this.#strayResources) > 0 ||
      this.#strayResources.memoryMb > 0
    );
  }

  /**
   * Takes an answer with the worker's clock.
   *
   * @param clockMs - the worker's clock
   * @param now - monotonic time of the answer's arrival
   */
  public recordContact(clockMs: number, now: number): void {
    this.#clockMs = clockMs;
    this.#clockReadAt = now;
    this.#lastContactAt = now;
    this.#callFailures = 0;
  }

  /** Notes that the worker told what it runs. The leases on it were granted by an earlier leader, at most as long. */
  public markSurveyed(): void {
    if (!this.#isSurveyed) this.#leaseUntilMs = this.#clockMs + schedulingLimits.maxWorkerLeaseMs;
    this.#isSurveyed = true;
  }

  /**
   * Computes the end of a lease that is granted now.
   *
   * @param now - monotonic time
   * @returns time on the worker's clock
   */
  public extendLease(now: number): number {
    const elapsed = this.#clockReadAt === undefined ? 0 : now - this.#clockReadAt;
    const until = Math.floor(this.#clockMs + elapsed + schedulingLimits.workerLeaseMs);
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, until);
    return until;
  }

  /**
   * Tells by when everything on the worker has surely ended if it gets no further order.
   *
   * @returns monotonic time
   */
  public get leasesExpireAt(): number {
    const { minClockRate: slowestClockRate, leaseExpiryMarginMs: lapseMarginMs } = schedulingLimits;
    if (this.#clockReadAt === undefined) return Infinity;
    const left = Math.max(0, this.#leaseUntilMs - this.#clockMs) / slowestClockRate;
    return this.#clockReadAt + left + lapseMarginMs;
  }

  /**
   * Notes a call without an answer: the worker gets no new task for a while. If it answered another call meanwhile, only
   * the one was lost.
   *
   * @param now - monotonic time
   * @param sentAt - when the call was sent
   */
  public recordCallFailure(now: number, sentAt: number): void {
    if (this.#lastContactAt > sentAt) return;
    this.#callFailures += 1;
    const { workerBackoffMs, maxWorkerBackoffMs } = schedulingLimits;
    const delay = Math.min(workerBackoffMs * 2 ** (this.#callFailures - 1), maxWorkerBackoffMs);
    this.pauseUntil(now + delay);
  }

  /**
   * Keeps new tasks away for a while.
   *
   * @param time - monotonic time
   */
  public pauseUntil(time: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, time);
  }

  /**
   * Counts the end of a run for the worker's health.
   *
   * @param isFailure - whether it failed
   * @param now - monotonic time
   */
  public recordRunOutcome(isFailure: boolean, now: number): void {
    this.#consecutiveFailures = isFailure ? this.#consecutiveFailures + 1 : 0;
    const { quarantineFailures, quarantineMs } = schedulingLimits;
    if (this.#consecutiveFailures < quarantineFailures) return;
    this.pauseUntil(now + quarantineMs);
    this.#consecutiveFailures -= 1;
  }

  /** @param number - number of the last end that was processed */
  public markProcessed(number: number): void {
    this.#processedThrough = Math.max(this.#processedThrough, number);
  }

  /** @param number - number of the last end that lies in the store */
  public acknowledge(number: number): void {
    this.#acknowledgedThrough = Math.max(this.#acknowledgedThrough, number);
  }
}
