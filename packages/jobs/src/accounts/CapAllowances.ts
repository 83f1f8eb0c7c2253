import type { CapAllowance, Placements, Room } from '@toucanline/schema';
import type { AccountUsage } from '../AccountUsage.js';
import type { InheritedWorkers } from '../InheritedWorkers.js';
import type { JobRegistry } from '../JobRegistry.js';
import { resources } from '../resources.js';
import type { Worker } from '../Worker.js';
import { AccountAllowance } from './AccountAllowance.js';
import { allowanceLimits } from './allowanceLimits.js';
import { computeDemand } from './computeDemand.js';
import { PreviousAllowances } from './PreviousAllowances.js';
import { StrayUsage } from './StrayUsage.js';

/** Accounts whose starts wait for a higher allowance. */
interface AllowanceShortage {
  readonly accounts: readonly string[];
  /** Longest time for which one of them has waited, in milliseconds; 0 if none waits. */
  readonly longestMs: number;
}

/**
 * Keeps the starts of accounts with a cap within allowances that are known to be stored, and counts what the previous
 * leader may have started within its own. The allowances of two leaders together never exceed a cap, so neither do
 * their runs, although a leader without contact to the store continues to start tasks for a while.
 */
export class CapAllowances {
  readonly #jobs: JobRegistry;
  readonly #inheritedWorkers: InheritedWorkers;
  readonly #maxStopMs: number;
  readonly #previous = new PreviousAllowances();
  readonly #strayUsage: StrayUsage;
  readonly #allowances = new Map<string, AccountAllowance>();
  /**
   * Surveyed workers, with the monotonic time in milliseconds by which runs that the previous leader was stopping have
   * ended: their reports do not list these.
   */
  readonly #stoppingUntil = new Map<Worker, number>();
  #fullUpdateAt = -Infinity;

  /**
   * @param jobs - known jobs and accounts
   * @param inheritedWorkers - unsurveyed workers on which the previous leader may have started runs
   * @param maxStopMs - longest time that a worker takes to stop a run, in milliseconds
   */
  public constructor(jobs: JobRegistry, inheritedWorkers: InheritedWorkers, maxStopMs: number) {
    this.#jobs = jobs;
    this.#inheritedWorkers = inheritedWorkers;
    this.#maxStopMs = maxStopMs;
    this.#strayUsage = new StrayUsage(jobs, maxStopMs);
  }

  /** Whether any account has a cap. */
  public get hasAccounts(): boolean {
    return this.#cappedAccounts.length > 0;
  }

  /** Whether the store may hold other allowances than the wanted ones. */
  public get isWriteNeeded(): boolean {
    if (!this.#isWritable) return false;
    return this.#cappedAccounts.some(({ name }) => this.#ensure(name).isWriteNeeded);
  }

  /** Whether starts wait for a higher allowance. */
  public get isShort(): boolean {
    return this.#cappedAccounts.some(({ name }) => this.#ensure(name).shortSince !== undefined);
  }

  /**
   * Finds the accounts whose starts wait for a higher allowance.
   *
   * @param now - monotonic time in milliseconds
   * @returns their names, and how long they have waited
   */
  public findShortage(now: number): AllowanceShortage {
    const waiting = this.#cappedAccounts.flatMap(({ name }) => {
      const since = this.#ensure(name).shortSince;
      return since === undefined ? [] : [{ name, waitedMs: now - since }];
    });
    return {
      accounts: waiting.map(({ name }) => name),
      longestMs: Math.max(0, ...waiting.map(({ waitedMs }) => waitedMs)),
    };
  }

  /**
   * Restores the allowances of the previous leader. They also bind this leader until it writes others, because they are
   * what its own successor would read.
   *
   * @param placements - stored placements; undefined if they are missing or cannot be decoded
   */
  public restore(placements: Placements | undefined): void {
    const allowances = placements?.allowances;
    this.#previous.restore(allowances);
    for (const { account, room } of allowances ?? []) this.#ensure(account).restore(room);
  }

  /**
   * Records a report: the runs of a worker of the previous leader, and stray runs.
   *
   * @param worker - worker that sent the report
   * @param strays - runs that belong to no task
   * @param isSurvey - whether this is the first report of a worker of the previous leader
   * @param now - monotonic time in milliseconds
   */
  public recordReport(
    worker: Worker,
    strays: Parameters<StrayUsage['recordReport']>[1],
    isSurvey: boolean,
    now: number,
  ): void {
    this.#strayUsage.recordReport(worker, strays, now);
    if (!isSurvey || this.#previous.isSettled) return;
    this.#previous.recordSurvey(worker);
    this.#stoppingUntil.set(worker, now + this.#maxStopMs);
  }

  /**
   * Applies allowances and unseen usage to the accounts, before a planning pass.
   *
   * @param now - monotonic time in milliseconds
   * @param isCurrent - whether the leader lease is current. Otherwise a successor may have extended leases of runs that
   * this leader does not know, so nothing counts as ended.
   */
  public apply(now: number, isCurrent: boolean): void {
    if (isCurrent) {
      this.#strayUsage.removeEnded(now);
      for (const [worker, endsAt] of this.#stoppingUntil)
        if (now >= endsAt) this.#stoppingUntil.delete(worker);
    }
    const unseenWorkers = this.#unseenWorkers;
    if (isCurrent && unseenWorkers?.size === 0) this.#previous.settle();
    const bound = unseenWorkers && sumCapacity(unseenWorkers);
    for (const account of this.#listedAccounts) {
      account.setUnseenUsage(this.#previous.computeUnseen(account, bound));
      account.setAllowance(this.#ensure(account.name).limit);
    }
  }

  /**
   * Adapts the wanted allowances to the demand, after a planning pass: at intervals, and at once for accounts whose tasks
   * were held back by their allowance in this pass.
   *
   * @param now - monotonic time in milliseconds
   */
  public updateTargets(now: number): void {
    const isFull = now - this.#fullUpdateAt >= allowanceLimits.fullUpdateIntervalMs;
    if (isFull) this.#fullUpdateAt = now;
    const updated = this.#cappedAccounts.filter(
      (account) => account.takeShortage() || isFull || !this.#ensure(account.name).hasTarget,
    );
    if (updated.length === 0) return;
    const demand = computeDemand(this.#jobs.openJobs, new Set(updated));
    for (const account of updated) {
      const needed = resources.add(account.total, demand.get(account) ?? resources.none);
      this.#ensure(account.name).update(needed, account.cap, now);
    }
  }

  /**
   * Begins a write of the allowances. Lower ones bind from now on.
   *
   * @param isFinal - whether nothing is started after the write
   * @returns allowances to write; undefined as long as those of the previous leader are unknown and its runs may continue,
   * so that the next leader assumes the whole caps as well
   */
  public beginWrite(isFinal: boolean): readonly CapAllowance[] | undefined {
    if (!this.#isWritable) return undefined;
    const listed = this.#listedAccounts;
    const names = new Set(listed.map(({ name }) => name));
    for (const name of this.#allowances.keys()) if (!names.has(name)) this.#allowances.delete(name);
    return listed.map((account) => {
      const allowance = this.#ensure(account.name);
      const room = allowance.beginWrite(account.total, isFinal);
      account.setAllowance(allowance.limit);
      return { account: account.name, room };
    });
  }

  /**
   * Records that a write is confirmed. Higher allowances may be used from now on.
   *
   * @param written - written allowances; undefined if the write contained none
   * @returns whether any allowance has risen
   */
  public confirmWrite(written: readonly CapAllowance[] | undefined): boolean {
    let hasRisen = false;
    for (const { account, room } of written ?? [])
      if (this.#allowances.get(account)?.confirmWrite(room) === true) hasRisen = true;
    return hasRisen;
  }

  /** Workers that may run what no report lists or no account counts; undefined if they are not known. */
  get #unseenWorkers(): ReadonlySet<Worker> | undefined {
    const { unsurveyed } = this.#inheritedWorkers;
    if (unsurveyed === undefined) return undefined;
    const { workersWithUnknown } = this.#strayUsage;
    return new Set([...unsurveyed, ...this.#stoppingUntil.keys(), ...workersWithUnknown]);
  }

  get #isWritable(): boolean {
    return this.#previous.isKnown || this.#previous.isSettled;
  }

  get #cappedAccounts(): readonly AccountUsage[] {
    return [...this.#jobs.accounts].filter(({ hasCap }) => hasCap);
  }

  /** Accounts with a cap, and others in which the previous leader may have started runs under its cap. */
  get #listedAccounts(): readonly AccountUsage[] {
    const inherited = this.#previous.accountNames.map((name) => this.#jobs.ensureAccount(name));
    return [...new Set([...this.#cappedAccounts, ...inherited])];
  }

  #ensure(name: string): AccountAllowance {
    const known = this.#allowances.get(name);
    if (known !== undefined) return known;
    const created = new AccountAllowance();
    this.#allowances.set(name, created);
    return created;
  }
}

/**
 * Sums the most that can run on workers. Opportunistic tasks use the processors of others and count against the cap, so
 * the runs of a worker can add up to twice its capacity.
 */
const sumCapacity = (workers: Iterable<Worker>): Room => {
  let sum: Room = resources.none;
  for (const { entry } of workers) sum = resources.add(sum, entry.capacity, 2);
  return sum;
};
