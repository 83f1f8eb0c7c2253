import type { HostRecord, Report, Resources } from '@toucanline/schema';
import { FleetIndex } from './FleetIndex.js';
import type { ShardContext } from './ShardContext.js';
import { WorkerRecord } from './WorkerRecord.js';
import { zeroResources } from './zeroResources.js';

/** Workers of a shard. */
export class Fleet {
  /** Index of the workers by free capacity. */
  public readonly index = new FleetIndex();
  readonly #context: ShardContext;
  readonly #workers = new Map<string, WorkerRecord>();
  #list: readonly WorkerRecord[] | undefined;
  /** Workers of the previous owner that may be missing in the host list; kept until their state is known. */
  readonly #inherited = new Set<string>();
  /** Workers drained by operators, including those that have not joined yet. */
  readonly #drained = new Set<string>();
  #version = 0;
  #isClaimConfirmed = true;
  #reservePerAccelerator = zeroResources;

  /** @param context - context shared by the components of the shard */
  public constructor(context: ShardContext) {
    this.#context = context;
  }

  /** Increases with each change that may let waiting work start, except for changes of single workers. */
  public get version(): number {
    return this.#version;
  }

  /** All known workers. */
  public get workers(): readonly WorkerRecord[] {
    this.#list ??= [...this.#workers.values()];
    return this.#list;
  }

  /** Total capacity of all workers with a valid lease. */
  public get totalCapacity(): Resources {
    return this.index.totalCapacity;
  }

  /** Free capacity of all workers that may take work. */
  public get free(): Resources {
    return this.index.free;
  }

  /**
   * Sets whether this owner certainly holds the claim. Otherwise another owner may exist, and a worker that was
   * restarted has lost the lease of that owner. Such a worker gets no new tasks until every lease from before
   * the restart has expired.
   *
   * @param isConfirmed - whether no other owner can exist
   */
  public setClaimConfirmed(isConfirmed: boolean): void {
    if (this.#isClaimConfirmed === isConfirmed) return;
    this.#isClaimConfirmed = isConfirmed;
    for (const worker of this.workers) this.#updateWithheld(worker);
  }

  /** Allows new tasks again on withheld workers that have been up for longer than a lease. */
  public tick(): void {
    if (!this.#isClaimConfirmed) for (const worker of this.workers) this.#updateWithheld(worker);
  }

  #updateWithheld(worker: WorkerRecord): void {
    worker.setWithheld(
      !this.#isClaimConfirmed && worker.contact.isRecentlyBooted(this.#context.clock.now()),
    );
  }

  /** Counts a change that may let waiting work start and is not a change of a single worker. */
  public incrementVersion(): void {
    this.#version += 1;
  }

  /**
   * Reserves processors and memory beside each free accelerator of every worker.
   *
   * @param perAccelerator - amount per free accelerator
   */
  public setAcceleratorReserve(perAccelerator: Resources): void {
    this.#reservePerAccelerator = perAccelerator;
    for (const worker of this.#workers.values())
      worker.occupancy.setAcceleratorReserve(perAccelerator);
  }

  /**
   * Finds a worker.
   *
   * @param id - name of the worker
   * @returns the worker; undefined if it is not known
   */
  public find(id: string): WorkerRecord | undefined {
    return this.#workers.get(id);
  }

  /**
   * Applies the host list. A worker that is no longer listed is kept until its lease has certainly expired,
   * because the list may be out of date.
   *
   * @param hosts - records of the workers of this shard
   */
  public applyHosts(hosts: readonly HostRecord[]): void {
    const listed = new Set(hosts.map((host) => host.id));
    for (const host of hosts) {
      const known = this.#workers.get(host.id);
      if (known === undefined) this.#addWorker(host);
      else this.#updateWorker(known, host);
    }
    for (const worker of this.#workers.values()) {
      const isGone = worker.isLeaseExpired || !worker.hasReported;
      const isKept = listed.has(worker.id) || this.#inherited.has(worker.id);
      if (isKept || !isGone || worker.tasks.length > 0) continue;
      this.#workers.delete(worker.id);
      this.#drained.delete(worker.id);
      this.#list = undefined;
      this.index.delete(worker);
      this.#context.recorder.record('workerLost', { worker: worker.id });
    }
  }

  /**
   * Adds the workers to which the previous owner held a lease, whether or not the host list has them.
   *
   * @param workers - workers of the previous owner
   */
  public inherit(workers: readonly HostRecord[]): void {
    for (const worker of workers) {
      this.#inherited.add(worker.id);
      if (!this.#workers.has(worker.id)) this.#addWorker(worker);
    }
  }

  /** Ends the special treatment of inherited workers: each one has reported, or its lease has expired. */
  public clearInherited(): void {
    this.#inherited.clear();
  }

  /**
   * Lists the workers that may be running tasks, for the next owner.
   *
   * @returns the workers that reported and whose lease has not certainly expired, and those of the previous owner
   * whose state is not known yet
   */
  public listLeased(): readonly HostRecord[] {
    return this.workers
      .filter(
        (worker) =>
          (worker.hasReported && !worker.isLeaseExpired) || this.#inherited.has(worker.id),
      )
      .map(({ host }) => host);
  }

  /** Names of the workers drained by operators. */
  public get drained(): readonly string[] {
    return [...this.#drained];
  }

  /**
   * Starts or ends an operator's drain.
   *
   * @param id - name of the worker, which may join later
   * @param isDrained - whether the worker is drained and takes no new work
   */
  public setDrained(id: string, isDrained: boolean): void {
    if (isDrained) this.#drained.add(id);
    else this.#drained.delete(id);
    this.#workers.get(id)?.setDrained(isDrained);
    this.incrementVersion();
  }

  /**
   * Applies the report of a worker to its record.
   *
   * @param worker - the worker
   * @param report - the report
   * @param sentAt - local monotonic time before the poll was sent, in milliseconds
   */
  public applyReport(worker: WorkerRecord, report: Report, sentAt: number): void {
    const { recorder, clock, shard } = this.#context;
    if (!worker.hasReported || worker.isLeaseExpired) {
      recorder.record('workerJoined', { worker: worker.id, shard });
    }
    const wasLeaving = worker.isLeaving;
    worker.applyReport(report, sentAt, clock.now());
    this.#updateWithheld(worker);
    this.#recordLeaving(worker, wasLeaving, 'worker report');
  }

  /**
   * Checks whether any known worker could run a task if it were empty.
   *
   * @param size - size of the task
   * @param acceleratorType - required type of accelerator; undefined if any will do
   * @returns true if at least one is large enough
   */
  public hasSuitableWorker(size: Resources, acceleratorType?: string): boolean {
    for (const worker of this.#workers.values()) {
      if (worker.isSuitable(size, acceleratorType)) return true;
    }
    return false;
  }

  #addWorker(host: HostRecord): void {
    const worker = new WorkerRecord(host, (changed) => {
      this.index.update(changed);
    });
    worker.occupancy.setAcceleratorReserve(this.#reservePerAccelerator);
    if (this.#drained.has(host.id)) worker.setDrained(true);
    this.#workers.set(host.id, worker);
    this.#list = undefined;
    this.#context.emit({ effect: 'poll', worker: host.id });
  }

  #updateWorker(worker: WorkerRecord, host: HostRecord): void {
    const wasLeaving = worker.isLeaving;
    worker.setHost(host);
    this.#recordLeaving(worker, wasLeaving, 'host list');
  }

  #recordLeaving(worker: WorkerRecord, wasLeaving: boolean, detail: string): void {
    if (wasLeaving || !worker.isLeaving) return;
    this.#context.recorder.record('workerLeaving', { worker: worker.id, detail });
  }
}
