import type { Request } from '@toucanline/schema';

/** Workers on which requests with one body failed and succeeded. */
interface WorkerOutcomes {
  readonly failedWorkers: Set<string>;
  readonly succeededWorkers: Set<string>;
}

/** Maximum number of request bodies with a history; the oldest ones are evicted first. */
const maxBodies = 5000;
const maxWorkloads = 5000;
/**
 * Maximum number of workers per set: enough to tell whether a failure happens on other workers too.
 */
const maxWorkers = 8;

const addBounded = (set: Set<string>, worker: string): void => {
  if (set.size < maxWorkers) set.add(worker);
};

const evictOldest = (map: Map<string, unknown>, limit: number): void => {
  const [oldest] = map.keys();
  if (map.size > limit && oldest !== undefined) map.delete(oldest);
};

/**
 * Records on which workers requests failed and succeeded, by body and by workload. The digest
 * identifies the body of a request; a workload is its team and queue.
 */
export class OutcomeHistory {
  readonly #outcomesByDigest = new Map<string, WorkerOutcomes>();
  /** Workers on which a workload failed since it last succeeded on any worker. */
  readonly #failedWorkersByWorkload = new Map<string, Set<string>>();

  /**
   * Records that a request succeeded on a worker.
   *
   * @param request - the request
   * @param worker - name of the worker
   */
  public recordSuccess(request: Request, worker: string): void {
    this.#failedWorkersByWorkload.delete(this.#nameWorkload(request));
    addBounded(this.#findOutcomes(request.digest).succeededWorkers, worker);
  }

  /**
   * Records that a request failed on a worker.
   *
   * @param request - the request
   * @param worker - name of the worker
   * @returns the workload of the request
   */
  public recordFailure(request: Request, worker: string): string {
    const workload = this.#nameWorkload(request);
    const workers = this.#failedWorkersByWorkload.get(workload) ?? new Set<string>();
    this.#failedWorkersByWorkload.set(workload, workers);
    addBounded(workers, worker);
    evictOldest(this.#failedWorkersByWorkload, maxWorkloads);
    addBounded(this.#findOutcomes(request.digest).failedWorkers, worker);
    return workload;
  }

  /**
   * Lists the workers on which requests with the same body failed.
   *
   * @param request - the request
   * @returns names of workers
   */
  public listFailedWorkers(request: Request): readonly string[] {
    return [...(this.#outcomesByDigest.get(request.digest)?.failedWorkers ?? [])];
  }

  /**
   * Checks whether a request with a body succeeded on another worker.
   *
   * @param digest - digest of the request body
   * @param worker - name of the worker
   * @returns true if one did
   */
  public hasSucceededElsewhere(digest: string, worker: string): boolean {
    return this.#includesOther(this.#outcomesByDigest.get(digest)?.succeededWorkers, worker);
  }

  /**
   * Checks whether a request with a body failed on another worker.
   *
   * @param digest - digest of the request body
   * @param worker - name of the worker
   * @returns true if one did
   */
  public hasFailedElsewhere(digest: string, worker: string): boolean {
    return this.#includesOther(this.#outcomesByDigest.get(digest)?.failedWorkers, worker);
  }

  /**
   * Checks whether requests of a workload failed on another worker since one of them last
   * succeeded.
   *
   * @param workload - name of the workload
   * @param worker - name of the worker
   * @returns true if one did
   */
  public hasWorkloadFailedElsewhere(workload: string, worker: string): boolean {
    return this.#includesOther(this.#failedWorkersByWorkload.get(workload), worker);
  }

  #nameWorkload({ team, queue }: Request): string {
    return `${team}|${queue}`;
  }

  #includesOther(workers: ReadonlySet<string> | undefined, worker: string): boolean {
    if (workers === undefined) return false;
    return workers.size > (workers.has(worker) ? 1 : 0);
  }

  #findOutcomes(digest: string): WorkerOutcomes {
    const known = this.#outcomesByDigest.get(digest);
    if (known !== undefined) return known;
    const created = { failedWorkers: new Set<string>(), succeededWorkers: new Set<string>() };
    this.#outcomesByDigest.set(digest, created);
    evictOldest(this.#outcomesByDigest, maxBodies);
    return created;
  }
}
