import type { Request } from '@toucanline/schema';

/** Where jobs with one body ended. */
interface WorkerOutcomes {
  readonly failedWorkers: Set<string>;
  readonly succeededWorkers: Set<string>;
}

/** Jobs that are remembered; the oldest ones are forgotten first. */
const maxBodies = 5000;
const maxWorkloads = 5000;
/** Workers remembered per job: enough to tell whether a failure happens elsewhere too. */
const maxWorkers = 8;

const addBounded = (set: Set<string>, worker: string): void => {
  if (set.size < maxWorkers) set.add(worker);
};

const evictOldest = (map: Map<string, unknown>, limit: number): void => {
  const [oldest] = map.keys();
  if (map.size > limit && oldest !== undefined) map.delete(oldest);
};

/** On which workers jobs failed and succeeded. A job is the body of a request, a kind its team and queue. */
export class OutcomeHistory {
  readonly #outcomesByDigest = new Map<string, WorkerOutcomes>();
  /** Workers on which a kind failed since it last succeeded anywhere. */
  readonly #failedWorkersByWorkload = new Map<string, Set<string>>();

  /**
   * Notes a success.
   *
   * @param request - the request
   * @param worker - name of the worker
   */
  public recordSuccess(request: Request, worker: string): void {
    this.#failedWorkersByWorkload.delete(this.#nameWorkload(request));
    addBounded(this.#findOutcomes(request.digest).succeededWorkers, worker);
  }

  /**
   * Notes a failure.
   *
   * @param request - the request
   * @param worker - name of the worker
   * @returns the kind of the job
   */
  public recordFailure(request: Request, worker: string): string {
    const kind = this.#nameWorkload(request);
    const workers = this.#failedWorkersByWorkload.get(kind) ?? new Set<string>();
    this.#failedWorkersByWorkload.set(kind, workers);
    addBounded(workers, worker);
    evictOldest(this.#failedWorkersByWorkload, maxWorkloads);
    addBounded(this.#findOutcomes(request.digest).failedWorkers, worker);
    return kind;
  }

  /**
   * Lists where a job failed.
   *
   * @param request - a request of the job
   * @returns names of workers
   */
  public listFailedWorkers(request: Request): readonly string[] {
    return [...(this.#outcomesByDigest.get(request.digest)?.failedWorkers ?? [])];
  }

  /**
   * Checks whether a job succeeded on another worker.
   *
   * @param job - digest of the job
   * @param worker - name of the worker
   * @returns true if it did
   */
  public hasSucceededElsewhere(job: string, worker: string): boolean {
    return this.#includesOther(this.#outcomesByDigest.get(job)?.succeededWorkers, worker);
  }

  /**
   * Checks whether a job failed on another worker.
   *
   * @param job - digest of the job
   * @param worker - name of the worker
   * @returns true if it did
   */
  public hasFailedElsewhere(job: string, worker: string): boolean {
    return this.#includesOther(this.#outcomesByDigest.get(job)?.failedWorkers, worker);
  }

  /**
   * Checks whether jobs of a kind failed on another worker since one of them last succeeded.
   *
   * @param kind - the kind
   * @param worker - name of the worker
   * @returns true if they did
   */
  public hasWorkloadFailedElsewhere(kind: string, worker: string): boolean {
    return this.#includesOther(this.#failedWorkersByWorkload.get(kind), worker);
  }

  #nameWorkload({ team, queue }: Request): string {
    return `${team}|${queue}`;
  }

  #includesOther(workers: ReadonlySet<string> | undefined, worker: string): boolean {
    if (workers === undefined) return false;
    return workers.size > (workers.has(worker) ? 1 : 0);
  }

  #findOutcomes(job: string): WorkerOutcomes {
    const known = this.#outcomesByDigest.get(job);
    if (known !== undefined) return known;
    const created = { failedWorkers: new Set<string>(), succeededWorkers: new Set<string>() };
    this.#outcomesByDigest.set(job, created);
    evictOldest(this.#outcomesByDigest, maxBodies);
    return created;
  }
}
