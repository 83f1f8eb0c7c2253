import type { CapAllowances } from '@toucanline/jobs';
import type { EventLog } from './EventLog.js';
import type { HostMetrics } from './HostMetrics.js';
import { hostLimits } from './hostLimits.js';

/** Accounts that one line names; their number is logged in any case. */
const maxNamedAccounts = 10;

/** Reports accounts whose starts wait for a higher allowance, which happens while the store is slow or unavailable. */
export class AllowanceMonitor {
  readonly #allowances: CapAllowances;
  readonly #log: EventLog;
  readonly #metrics: HostMetrics;
  #loggedAt = -Infinity;

  /**
   * @param allowances - allowances of the accounts with a cap
   * @param log - event log of this process
   * @param metrics - metrics of this process
   */
  public constructor(allowances: CapAllowances, log: EventLog, metrics: HostMetrics) {
    this.#allowances = allowances;
    this.#log = log;
    this.#metrics = metrics;
  }

  /**
   * Updates the metric, and logs accounts that have waited for long.
   *
   * @param now - monotonic time in milliseconds
   */
  public update(now: number): void {
    const { accounts, longestMs } = this.#allowances.findShortage(now);
    this.#metrics.setAccountsAwaitingAllowance(accounts.length);
    const { allowanceDelayLogMs } = hostLimits;
    if (longestMs < allowanceDelayLogMs || now - this.#loggedAt < allowanceDelayLogMs) return;
    this.#loggedAt = now;
    this.#log.write('allowanceDelayed', {
      count: accounts.length,
      accounts: accounts.slice(0, maxNamedAccounts).join(' '),
      waitedMs: Math.round(longestMs),
    });
  }

  /** Resets the metric at the end of the term. */
  public stop(): void {
    this.#metrics.setAccountsAwaitingAllowance(0);
  }
}
