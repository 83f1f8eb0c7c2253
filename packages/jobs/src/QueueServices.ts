import type { QueueServicesRecord } from '@toucanline/schema';
import type { InheritedWorkers } from './InheritedWorkers.js';
import type { JobRegistry } from './JobRegistry.js';
import type { QueueSettings } from './QueueSettings.js';
import type { QueueTerms } from './QueueTerms.js';
import type { WorkerPool } from './WorkerPool.js';

type ServicesByQueue = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Services on whose workers tasks of each queue may run. A configuration can give a queue another service while tasks of
 * its jobs run on workers of the earlier one, so the store lists the services of a queue before a task starts there, and
 * a new leader waits for the workers of all of them.
 */
export class QueueServices {
  readonly #queues: QueueSettings;
  readonly #jobs: JobRegistry;
  readonly #pool: WorkerPool;
  readonly #inheritedWorkers: InheritedWorkers;
  /** Services that the previous leader may have used; undefined if its record is missing or cannot be decoded. */
  #inherited: ServicesByQueue | undefined = new Map();
  /** Services that the store lists for certain; undefined if this leader keeps no record. */
  #stored: ServicesByQueue | undefined;

  /**
   * @param queues - settings of the queues
   * @param jobs - known jobs
   * @param pool - known workers
   * @param inheritedWorkers - unsurveyed workers on which the previous leader may have started runs
   */
  public constructor(
    queues: QueueSettings,
    jobs: JobRegistry,
    pool: WorkerPool,
    inheritedWorkers: InheritedWorkers,
  ) {
    this.#queues = queues;
    this.#jobs = jobs;
    this.#pool = pool;
    this.#inheritedWorkers = inheritedWorkers;
  }

  /** Whether a queue has a service that the store does not list yet. */
  public get isWriteNeeded(): boolean {
    for (const queue of this.#listInUse()) if (!this.isStored(queue)) return true;
    return false;
  }

  /**
   * Restores the record of the previous leader. From then on tasks start only on workers of services that the store
   * lists.
   *
   * @param record - record in the store; undefined if it is missing or cannot be decoded
   */
  public restore(record: QueueServicesRecord | undefined): void {
    this.#inherited = record === undefined ? undefined : readServices(record);
    this.#stored = this.#inherited ?? new Map();
  }

  /**
   * Checks whether tasks of a queue may start on workers of its service.
   *
   * @param queue - current settings of the queue
   * @returns whether the store lists the service for the queue
   */
  public isStored({ name, service }: QueueTerms): boolean {
    return this.#stored === undefined || this.#stored.get(name)?.has(service) === true;
  }

  /**
   * Checks whether the previous leader may have started tasks of a queue on workers of a service.
   *
   * @param queue - current settings of the queue
   * @param service - service to check
   * @returns whether such tasks may run
   */
  public mayHaveRunOn(queue: QueueTerms, service: string): boolean {
    if (this.#inherited === undefined || queue.service === service) return true;
    return this.#inherited.get(queue.name)?.has(service) === true;
  }

  /**
   * Describes the services that the store must list: those of the configuration, those of open jobs, those of running
   * tasks, and those that the previous leader may have used on unsurveyed workers.
   *
   * @returns record to write to the store
   */
  public describe(): QueueServicesRecord {
    const services = new Map<string, Set<string>>();
    const add = (queue: string, service: string): void => {
      services.set(queue, (services.get(queue) ?? new Set()).add(service));
    };
    for (const queue of this.#listInUse()) {
      add(queue.name, queue.service);
      for (const service of this.#inheritedWorkers.services)
        if (this.mayHaveRunOn(queue, service)) add(queue.name, service);
    }
    for (const { entry, tasks } of this.#pool.all)
      for (const { step } of tasks) add(step.job.record.queue, entry.service);
    return {
      queues: [...services].map(([queue, names]) => ({ queue, services: [...names].sort() })),
    };
  }

  /**
   * Records that a write begins: until it is confirmed, the store lists either the earlier services or these.
   *
   * @param record - record that is being written
   */
  public beginWrite(record: QueueServicesRecord): void {
    const written = readServices(record);
    const both = [...(this.#stored ?? [])].map(([queue, services]) => {
      const kept = [...services].filter((service) => written.get(queue)?.has(service) === true);
      return [queue, new Set(kept)] as const;
    });
    this.#stored = new Map(both);
  }

  /**
   * Records that the store lists the services of a record.
   *
   * @param record - record that was written
   */
  public confirmWrite(record: QueueServicesRecord): void {
    this.#stored = readServices(record);
  }

  /** Lists the queues of the configuration, and for open jobs of other queues the terms that apply to them. */
  *#listInUse(): Iterable<QueueTerms> {
    yield* this.#queues.configured;
    for (const job of this.#jobs.openJobs) {
      const queue = this.#queues.isConfigured(job) ? undefined : this.#queues.findQueue(job);
      if (queue !== undefined) yield queue;
    }
  }
}

const readServices = ({ queues }: QueueServicesRecord): ServicesByQueue =>
  new Map(queues.map(({ queue, services }) => [queue, new Set(services)]));
