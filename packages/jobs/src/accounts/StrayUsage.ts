import type { Room } from '@toucanline/schema';
import type { AccountUsage } from '../AccountUsage.js';
import type { JobRegistry } from '../JobRegistry.js';
import type { Worker } from '../Worker.js';

interface StrayRun {
  readonly worker: Worker;
  /** Account of the run; undefined if its job is unknown. */
  readonly account: AccountUsage | undefined;
  readonly size: Room;
  /** Monotonic time in milliseconds at which the run has certainly ended; infinite while it is reported. */
  readonly endsAt: number;
}

/** Counts stray runs, which belong to no task, against the caps of their accounts until they have ended. */
export class StrayUsage {
  readonly #jobs: JobRegistry;
  readonly #maxStopMs: number;
  readonly #runs = new Map<string, StrayRun>();

  /**
   * @param jobs - known jobs
   * @param maxStopMs - longest time that a worker takes to stop a run, in milliseconds
   */
  public constructor(jobs: JobRegistry, maxStopMs: number) {
    this.#jobs = jobs;
    this.#maxStopMs = maxStopMs;
  }

  /** Workers on which runs of unknown jobs may be active, which count against no account. */
  public get workersWithUnknown(): readonly Worker[] {
    return [...this.#runs.values()].flatMap(({ account, worker }) =>
      account === undefined ? [worker] : [],
    );
  }

  /**
   * Records the stray runs of a report. A run that is missing may still be stopping, in which case no report lists it.
   *
   * @param worker - worker that sent the report
   * @param strays - stray runs that it lists
   * @param now - monotonic time in milliseconds
   */
  public recordReport(
    worker: Worker,
    strays: readonly { readonly task: string; readonly run: number }[],
    now: number,
  ): void {
    const listed = new Map(
      strays.map(({ task, run }) => [`${worker.incarnation}/${task}/${run}`, task]),
    );
    for (const [key, run] of this.#runs) {
      if (run.worker.id === worker.id && !listed.has(key))
        this.#runs.set(key, { ...run, endsAt: Math.min(run.endsAt, now + this.#maxStopMs) });
    }
    for (const [key, name] of listed) {
      const known = this.#runs.get(key);
      if (known !== undefined) {
        this.#runs.set(key, { ...known, endsAt: Infinity });
        continue;
      }
      const step = this.#jobs.findTask(name)?.step;
      const account = step?.job.account;
      const size = step?.description.size ?? worker.entry.capacity;
      account?.addStray(size, 1);
      this.#runs.set(key, { worker, account, size, endsAt: Infinity });
    }
  }

  /**
   * Removes the runs that have certainly ended. Called only while the leader lease is current: a successor may have
   * extended their leases.
   *
   * @param now - monotonic time in milliseconds
   */
  public removeEnded(now: number): void {
    for (const [key, { worker, account, size, endsAt }] of this.#runs) {
      if (now < endsAt && now <= worker.leasesExpireAt) continue;
      account?.addStray(size, -1);
      this.#runs.delete(key);
    }
  }
}
