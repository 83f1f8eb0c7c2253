import type { JobProgress, JobRecord, SiteConfiguration } from '@toucanline/schema';
import { AccountUsage } from './AccountUsage.js';
import { Job } from './Job.js';
import type { Task } from './Task.js';

/** All jobs and accounts that the leader knows. */
export class JobRegistry {
  readonly #jobs = new Map<string, Job>();
  readonly #accounts = new Map<string, AccountUsage>();
  /** Progress that was read before the job's own record. */
  readonly #earlyProgress = new Map<string, JobProgress>();
  readonly #openJobs = new Set<Job>();

  /** Jobs that are not finished. */
  public get openJobs(): ReadonlySet<Job> {
    return this.#openJobs;
  }

  /** Usage of all known accounts. */
  public get accounts(): Iterable<AccountUsage> {
    return this.#accounts.values();
  }

  /**
   * Finds a job.
   *
   * @param id - its id
   * @returns the job
   */
  public find(id: string): Job | undefined {
    return this.#jobs.get(id);
  }

  /**
   * Finds a task by the name that workers use.
   *
   * @param name - job, occurrence, step and index
   * @returns the task
   */
  public findTask(name: string): Task | undefined {
    const [id = '', occurrence, step, index] = name.split('.');
    return this.#jobs.get(id)?.findTask(Number(occurrence), Number(step), Number(index));
  }

  /**
   * Takes a job's record.
   *
   * @param record - the record
   * @param revision - revision of the store at which it was created
   * @param now - monotonic time of acceptance
   * @returns the job
   */
  public add(record: JobRecord, revision: number, now: number): Job {
    const known = this.#jobs.get(record.id);
    if (known !== undefined) {
      known.mergeCancellation(record);
      return known;
    }
    const job = new Job(record, this.ensureAccount(record.account), revision, now);
    this.#jobs.set(job.id, job);
    this.#openJobs.add(job);
    const progress = this.#earlyProgress.get(job.id);
    if (progress !== undefined) this.restoreProgress(progress, now);
    return job;
  }

  /**
   * Takes the progress that an earlier leader wrote.
   *
   * @param progress - the progress
   * @param now - monotonic time
   */
  public restoreProgress(progress: JobProgress, now: number): void {
    const job = this.#jobs.get(progress.id);
    if (job === undefined) {
      this.#earlyProgress.set(progress.id, progress);
      return;
    }
    this.#earlyProgress.delete(progress.id);
    job.restoreProgress(progress, now);
    if (job.isFinished) this.markFinished(job);
  }

  /** @param job - job that is finished */
  public markFinished(job: Job): void {
    this.#openJobs.delete(job);
  }

  /** @param id - job whose record was removed */
  public remove(id: string): void {
    const job = this.#jobs.get(id);
    if (job !== undefined) this.#openJobs.delete(job);
    this.#jobs.delete(id);
  }

  /**
   * Lists finished jobs that nobody asks for any more.
   *
   * @param finishedBefore - Unix time in milliseconds
   * @returns their ids
   */
  public listExpired(finishedBefore: number): readonly string[] {
    return [...this.#jobs.values()]
      .filter((job) => job.isFinished && job.finishedAtMs < finishedBefore)
      .map(({ id }) => id);
  }

  /**
   * Counts the jobs of a queue none of whose tasks started.
   *
   * @param queue - name of the queue
   * @returns their number
   */
  public countWaiting(queue: string): number {
    let count = 0;
    for (const job of this.#openJobs) if (job.record.queue === queue && !job.hasStarted) count += 1;
    return count;
  }

  /**
   * Finds the usage of an account.
   *
   * @param name - name of the account
   * @returns its usage
   */
  public ensureAccount(name: string): AccountUsage {
    const known = this.#accounts.get(name);
    if (known !== undefined) return known;
    const created = new AccountUsage(name);
    this.#accounts.set(name, created);
    return created;
  }

  /** @param configuration - newest configuration */
  public configure(configuration: SiteConfiguration): void {
    for (const { name, weight, cap } of configuration.accounts) {
      this.ensureAccount(name).configure(weight, cap);
    }
  }
}
