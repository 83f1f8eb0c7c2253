import type { Request } from '@toucanline/schema';

/** Where jobs with one body ended. */
interface JobOutcomes {
  readonly failedOn: Set<string>;
  readonly succeededOn: Set<string>;
}

/** Jobs that are remembered; the oldest ones are forgotten first. */
const maxJobs = 5000;
const maxKinds = 5000;
/** Workers remembered per job: enough to tell whether a failure happens elsewhere too. */
const maxWorkers = 8;

const addBounded = (set: Set<string>, worker: string): void => {
  if (set.size < maxWorkers) set.add(worker);
};

const trim = (map: Map<string, unknown>, limit: number): void => {
  const [oldest] = map.keys();
  if (map.size > limit && oldest !== undefined) map.delete(oldest);
};

/** On which workers jobs failed and succeeded. A job is the body of a request, a kind its team and queue. */
export class JobHistory {
  readonly #jobs = new Map<string, JobOutcomes>();
  /** Workers on which a kind failed since it last succeeded anywhere. */
  readonly #kinds = new Map<string, Set<string>>();

  /**
   * Notes a success.
   *
   * @param request - the request
   * @param worker - name of the worker
   */
  public noteSuccess(request: Request, worker: string): void {
    this.#kinds.delete(this.#nameKind(request));
    addBounded(this.#findJob(request.digest).succeededOn, worker);
  }

  /**
   * Notes a failure.
   *
   * @param request - the request
   * @param worker - name of the worker
   * @returns the kind of the job
   */
  public noteFailure(request: Request, worker: string): string {
    const kind = this.#nameKind(request);
    const workers = this.#kinds.get(kind) ?? new Set<string>();
    this.#kinds.set(kind, workers);
    addBounded(workers, worker);
    trim(this.#kinds, maxKinds);
    addBounded(this.#findJob(request.digest).failedOn, worker);
    return kind;
  }

  /**
   * Lists where a job failed.
   *
   * @param request - a request of the job
   * @returns names of workers
   */
  public listFailed(request: Request): readonly string[] {
    return [...(this.#jobs.get(request.digest)?.failedOn ?? [])];
  }

  /**
   * Checks whether a job succeeded on another worker.
   *
   * @param job - digest of the job
   * @param worker - name of the worker
   * @returns true if it did
   */
  public succeededElsewhere(job: string, worker: string): boolean {
    return this.#hasOther(this.#jobs.get(job)?.succeededOn, worker);
  }

  /**
   * Checks whether a job failed on another worker.
   *
   * @param job - digest of the job
   * @param worker - name of the worker
   * @returns true if it did
   */
  public failedElsewhere(job: string, worker: string): boolean {
    return this.#hasOther(this.#jobs.get(job)?.failedOn, worker);
  }

  /**
   * Checks whether jobs of a kind failed on another worker since one of them last succeeded.
   *
   * @param kind - the kind
   * @param worker - name of the worker
   * @returns true if they did
   */
  public kindFailedElsewhere(kind: string, worker: string): boolean {
    return this.#hasOther(this.#kinds.get(kind), worker);
  }

  #nameKind({ team, queue }: Request): string {
    return `${team}|${queue}`;
  }

  #hasOther(workers: ReadonlySet<string> | undefined, worker: string): boolean {
    if (workers === undefined) return false;
    return workers.size > (workers.has(worker) ? 1 : 0);
  }

  #findJob(job: string): JobOutcomes {
    const known = this.#jobs.get(job);
    if (known !== undefined) return known;
    const created = { failedOn: new Set<string>(), succeededOn: new Set<string>() };
    this.#jobs.set(job, created);
    trim(this.#jobs, maxJobs);
    return created;
  }
}
