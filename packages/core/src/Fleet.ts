import type { HostRecord, Report, Resources } from '@toucanline/schema';
import { FleetIndex } from './FleetIndex.js';
import type { ShardContext } from './ShardContext.js';
import { WorkerRecord } from './WorkerRecord.js';
import { zeroResources } from './zeroResources.js';

/** All workers of a shard. */
export class Fleet {
  /** Workers by free capacity. */
  public readonly index = new FleetIndex();
  readonly #context: ShardContext;
  readonly #workers = new Map<string, WorkerRecord>();
  #list: readonly WorkerRecord[] | undefined;
  /** Workers of the former owner that the host list misses; kept until they are accounted for. */
  readonly #inherited = new Set<string>();
  /** Workers that operators drained, also those that have not joined yet. */
  readonly #drained = new Set<string>();
  #version = 0;
  #isClaimConfirmed = true;
  #reservePerAccelerator = zeroResources;

  /** @param context - what the parts of the shard share */
  public constructor(context: ShardContext) {
    this.#context = context;
  }

  /** Grows with each change, other than of single workers, that may let waiting work start. */
  public get version(): number {
    return this.#version;
  }

  /** Known workers. */
  public get workers(): readonly WorkerRecord[] {
    this.#list ??= [...this.#workers.values()];
    return this.#list;
  }

  /** Capacity of all workers that reported. */
  public get totalCapacity(): Resources {
    return this.index.totalCapacity;
  }

  /** Free capacity of all workers that may take work. */
  public get free(): Resources {
    return this.index.free;
  }

  /**
   * Notes whether this owner certainly holds the claim. If not, another one may exist, and a worker that
   * restarted has forgotten it: such a worker gets no new task until each lease from before has ended.
   *
   * @param claimed - whether no other owner can exist
   */
  public setClaimConfirmed(claimed: boolean): void {
    if (this.#isClaimConfirmed === claimed) return;
    this.#isClaimConfirmed = claimed;
    for (const worker of this.workers) this.#updateWithheld(worker);
  }

  /** Lets workers that have been up for long enough take tasks again. */
  public tick(): void {
    if (!this.#isClaimConfirmed) for (const worker of this.workers) this.#updateWithheld(worker);
  }

  #updateWithheld(worker: WorkerRecord): void {
    worker.setWithheld(
      !this.#isClaimConfirmed && worker.contact.isRecentlyBooted(this.#context.clock.now()),
    );
  }

  /** Notes a change, other than of single workers, that may let waiting work start. */
  public incrementVersion(): void {
    this.#version += 1;
  }

  /**
   * Keeps processors and memory beside each free accelerator of every worker.
   *
   * @param kept - amount per free accelerator
   */
  public setAcceleratorReserve(kept: Resources): void {
    this.#reservePerAccelerator = kept;
    for (const worker of this.#workers.values()) worker.occupancy.setAcceleratorReserve(kept);
  }

  /**
   * Finds a worker.
   *
   * @param id - name of the worker
   * @returns the worker, if known
   */
  public find(id: string): WorkerRecord | undefined {
    return this.#workers.get(id);
  }

  /**
   * Applies the host list. A worker that is no longer listed is kept until its lease has certainly
   * expired, because the list lags.
   *
   * @param hosts - workers of this shard in the list
   */
  public applyHosts(hosts: readonly HostRecord[]): void {
    const listed = new Set(hosts.map((host) => host.id));
    for (const host of hosts) {
      const known = this.#workers.get(host.id);
      if (known === undefined) this.#addWorker(host);
      else this.#updateWorker(known, host);
    }
    for (const worker of this.#workers.values()) {
      const isGone = worker.isLapsed || !worker.hasReported;
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
   * Adds workers that the former owner leased, whether or not the host list has them.
   *
   * @param workers - workers of the former owner
   */
  public inherit(workers: readonly HostRecord[]): void {
    for (const worker of workers) {
      this.#inherited.add(worker.id);
      if (!this.#workers.has(worker.id)) this.#addWorker(worker);
    }
  }

  /** Notes that each inherited worker has reported or its lease has ended: the host list counts again. */
  public clearInherited(): void {
    this.#inherited.clear();
  }

  /**
   * Lists the workers that may run tasks, for the next owner.
   *
   * @returns the workers that reported and whose lease has not certainly ended, and those of the former
   * owner that are not accounted for
   */
  public listLeased(): readonly HostRecord[] {
    return this.workers
      .filter(
        (worker) => (worker.hasReported && !worker.isLapsed) || this.#inherited.has(worker.id),
      )
      .map(({ host }) => host);
  }

  /** Names of the workers that operators drained. */
  public get drained(): readonly string[] {
    return [...this.#drained];
  }

  /**
   * Starts or ends an operator's drain.
   *
   * @param id - name of the worker, which may join later
   * @param drained - whether it shall take no new work
   */
  public setDrained(id: string, drained: boolean): void {
    if (drained) this.#drained.add(id);
    else this.#drained.delete(id);
    this.#workers.get(id)?.setDrained(drained);
    this.incrementVersion();
  }

  /**
   * Applies the report of a worker to its record.
   *
   * @param worker - the worker
   * @param report - its report
   * @param sentAt - local monotonic time before the poll was sent, in milliseconds
   */
  public applyReport(worker: WorkerRecord, report: Report, sentAt: number): void {
    const { recorder, clock, shard } = this.#context;
    if (!worker.hasReported || worker.isLapsed) {
      recorder.record('workerJoined', { worker: worker.id, shard });
    }
    const wasLeaving = worker.isLeaving;
    worker.applyReport(report, sentAt, clock.now());
    this.#updateWithheld(worker);
    this.#recordLeaving(worker, wasLeaving, 'worker report');
  }

  /**
   * Checks whether any known worker could run a task when empty.
   *
   * @param size - size of the task
   * @param acceleratorType - required type of accelerator
   * @returns true if one is large enough
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
