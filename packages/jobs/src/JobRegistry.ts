import type { JobProgress, JobRecord, Room, SiteConfiguration } from '@toucanline/schema';
import { AccountUsage } from './AccountUsage.js';
import { Job } from './Job.js';
import type { Task } from './Task.js';

/** Weight and cap of an account when the latest of its jobs was accepted. */
interface AccountTerms {
  /** Store revision at which that job was accepted. */
  readonly revision: number;
  readonly weight: number;
  readonly cap: Room | undefined;
}

/** All jobs and client accounts that the leader knows. */
export class JobRegistry {
  readonly #jobs = new Map<string, Job>();
  readonly #accounts = new Map<string, AccountUsage>();
  /** Progress that was read before the record of its job, by job id. */
  readonly #earlyProgress = new Map<string, JobProgress>();
  readonly #openJobs = new Set<Job>();
  /** Accounts that the configuration in effect names. */
  #configuredAccounts: ReadonlySet<string> = new Set();
  readonly #accountTerms = new Map<string, AccountTerms>();

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
   * @param id - id of the job
   * @returns the job; undefined if it is unknown
   */
  public find(id: string): Job | undefined {
    return this.#jobs.get(id);
  }

  /**
   * Finds a task by the name that workers use.
   *
   * @param name - job, occurrence, step and index, joined by dots
   * @returns the task; undefined if it is unknown
   */
  public findTask(name: string): Task | undefined {
    const [id = '', occurrence, step, index] = name.split('.');
    return this.#jobs.get(id)?.findTask(Number(occurrence), Number(step), Number(index));
  }

  /**
   * Adds a job, or applies the cancellation of a known one.
   *
   * @param record - record of the job in the store
   * @param revision - store revision at which the record was created
   * @param now - monotonic time of acceptance, in milliseconds
   * @returns the new or known job
   */
  public add(record: JobRecord, revision: number, now: number): Job {
    const known = this.#jobs.get(record.id);
    if (known !== undefined) {
      known.mergeCancellation(record);
      return known;
    }
    // The weight decides whether the account has exceeded its rate, so the terms apply before the job is created.
    this.#recordAccountTerms(record, revision);
    const job = new Job(record, this.ensureAccount(record.account), revision, now);
    this.#jobs.set(job.id, job);
    this.#openJobs.add(job);
    const progress = this.#earlyProgress.get(job.id);
    if (progress !== undefined) this.restoreProgress(progress, now);
    return job;
  }

  /**
   * Restores the progress that a previous leader wrote; progress of an unknown job is kept until the job is added.
   *
   * @param progress - progress of one job, as stored
   * @param now - monotonic time in milliseconds
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

  /**
   * Marks a job as finished: planning no longer considers it.
   *
   * @param job - job in a final state
   */
  public markFinished(job: Job): void {
    this.#openJobs.delete(job);
  }

  /**
   * Removes a job.
   *
   * @param id - id of the job whose record was removed from the store
   */
  public remove(id: string): void {
    const job = this.#jobs.get(id);
    if (job !== undefined) this.#openJobs.delete(job);
    this.#jobs.delete(id);
  }

  /**
   * Lists finished jobs whose retention period is over.
   *
   * @param finishedBefore - Unix time in milliseconds; jobs that finished earlier are listed
   * @returns ids of the jobs
   */
  public listExpired(finishedBefore: number): readonly string[] {
    return [...this.#jobs.values()]
      .filter((job) => job.isFinished && job.finishedAtMs < finishedBefore)
      .map(({ id }) => id);
  }

  /**
   * Counts the unfinished jobs of a queue that have not started any task.
   *
   * @param queue - name of the queue
   * @returns number of jobs
   */
  public countWaiting(queue: string): number {
    let count = 0;
    for (const job of this.#openJobs) if (job.record.queue === queue && !job.hasStarted) count += 1;
    return count;
  }

  /**
   * Finds the usage of a client account, and creates it if the account is new.
   *
   * @param name - name of the account
   * @returns usage of the account
   */
  public ensureAccount(name: string): AccountUsage {
    const known = this.#accounts.get(name);
    if (known !== undefined) return known;
    const created = new AccountUsage(name);
    this.#accounts.set(name, created);
    return created;
  }

  /**
   * Applies the weights and caps of the accounts. To accounts that the configuration does not name, the terms of their
   * latest job apply.
   *
   * @param configuration - latest configuration of the site
   */
  public configure(configuration: SiteConfiguration): void {
    for (const { name, weight, cap } of configuration.accounts) {
      this.ensureAccount(name).configure(weight, cap);
    }
    this.#configuredAccounts = new Set(configuration.accounts.map(({ name }) => name));
    for (const name of this.#accountTerms.keys()) this.#applyAccountTerms(name);
  }

  #recordAccountTerms({ account, terms }: JobRecord, revision: number): void {
    if (terms === undefined || account === '') return;
    const { weight, cap } = terms;
    // A leader reads stored jobs in another order than that of their acceptance.
    if (revision < (this.#accountTerms.get(account)?.revision ?? 0)) return;
    this.#accountTerms.set(account, { revision, weight, cap });
    this.#applyAccountTerms(account);
  }

  #applyAccountTerms(name: string): void {
    const terms = this.#accountTerms.get(name);
    if (terms === undefined || this.#configuredAccounts.has(name)) return;
    this.ensureAccount(name).configure(terms.weight, terms.cap);
  }
}
