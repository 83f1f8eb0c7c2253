import { formatIncarnation, type Scheduler, type StoreItem, type Worker } from '@toucanline/jobs';
import {
  validators,
  type QueueServicesRecord,
  type Suspension,
  type WorkerEntry,
} from '@toucanline/schema';
import type { EventLog } from './EventLog.js';
import { hostLimits } from './hostLimits.js';
import type { LeaderDependencies } from './LeaderDependencies.js';
import type { LeaderLease } from './LeaderLease.js';
import { parseStoredRecord } from './parseStoredRecord.js';
import { storeKeys } from './storeKeys.js';

/** Services of the queues that are being written, and the item that holds them. */
interface QueueServicesWrite {
  readonly record: QueueServicesRecord;
  readonly item: { readonly key: string; readonly value: string };
}

/** Consecutive failed calls after which a worker is suspended. */
const suspensionFailureCount = 2;

/**
 * Maintains the roster in the store, from which the next leader learns which workers may run tasks, and the services on
 * whose workers those of each queue may run. Commands and leases go only to workers that the stored roster lists and that
 * are not suspended in the store. A worker that does not answer is suspended: if the next leader cannot reach it either,
 * it waits only for the rest of the worker's leases, not for the longest possible lease.
 */
export class RosterManager {
  readonly #dependencies: LeaderDependencies;
  readonly #leaderLease: LeaderLease;
  readonly #scheduler: Scheduler;
  readonly #log: EventLog;
  readonly #onChange: () => void;
  /** Worker incarnations in the stored roster. */
  #storedIncarnations = new Set<string>();
  /** Worker incarnations that the store lists as suspended. */
  #suspendedIncarnations = new Set<string>();
  /** Whether the store holds a roster that differs from the last one whose write was confirmed. */
  #isRosterUnknown = false;
  #rosterRevision = 0;
  #suspensionsRevision = 0;
  #queueServicesRevision = 0;
  /** Stored services of the queues, as JSON; undefined if they are not known for certain. */
  #storedQueueServices: string | undefined;
  #lastWriteAt = 0;
  #isWriting = false;

  /**
   * @param dependencies - what the leader needs from its host
   * @param leaderLease - leader lease of this term
   * @param scheduler - owns the workers
   * @param onChange - called when commands to more workers may be possible
   */
  public constructor(
    dependencies: LeaderDependencies,
    leaderLease: LeaderLease,
    scheduler: Scheduler,
    onChange: () => void,
  ) {
    this.#dependencies = dependencies;
    this.#leaderLease = leaderLease;
    this.#scheduler = scheduler;
    this.#log = dependencies.log;
    this.#onChange = onChange;
  }

  /**
   * Restores what the previous leader wrote.
   *
   * @param roster - stored roster
   * @param suspensions - stored suspensions
   * @param queueServices - stored services of the queues
   * @returns the workers that must be surveyed
   */
  public restore(
    roster: StoreItem | undefined,
    suspensions: StoreItem | undefined,
    queueServices: StoreItem | undefined,
  ): readonly Worker[] {
    this.#queueServicesRevision = queueServices?.revision ?? 0;
    this.#scheduler.queueServices.restore(readQueueServices(queueServices));
    this.#rosterRevision = roster?.revision ?? 0;
    this.#suspensionsRevision = suspensions?.revision ?? 0;
    const suspensionRecords = readSuspensions(suspensions);
    const remainingMsByName = new Map(
      suspensionRecords.map(({ worker, life, remainingMs }) => [
        formatIncarnation(worker, life),
        remainingMs,
      ]),
    );
    this.#suspendedIncarnations = new Set(remainingMsByName.keys());
    const workers: Worker[] = [];
    const entries = readRoster(roster);
    if (entries === undefined) {
      this.#log.write('rosterUnreadable', { revision: this.#rosterRevision });
      this.#isRosterUnknown = true;
      this.#scheduler.assumeUnknownWorkers();
    }
    for (const entry of entries ?? []) {
      const name = formatIncarnation(entry.id, entry.life);
      this.#storedIncarnations.add(name);
      const worker = this.#scheduler.updateWorker(entry, true, remainingMsByName.get(name));
      if (worker === undefined) continue;
      if (this.#suspendedIncarnations.has(name)) worker.suspend();
      workers.push(worker);
    }
    return workers;
  }

  /**
   * Suspends workers that cannot be reached, and starts to write the roster if it has changed.
   *
   * @param now - monotonic time in milliseconds
   */
  public update(now: number): void {
    for (const worker of this.#scheduler.workers) {
      const name = worker.incarnation;
      const isActive = this.#storedIncarnations.has(name) && !this.#suspendedIncarnations.has(name);
      if (worker.isSuspended || (isActive && !isUnreachable(worker))) continue;
      worker.suspend();
      this.#log.write('workerSuspended', {
        worker: worker.id,
        life: worker.life,
        listed: worker.isListed ? 'yes' : 'no',
        callFailures: worker.callFailures,
        remainingMs: Math.round(this.#scheduler.computeRemainingMs(worker, now)),
      });
    }
    // An entry that nothing has answered for may lead to no worker, and the next leader would wait for it, unless an
    // earlier incarnation was given tasks.
    const workers = this.#scheduler.workers.filter(
      (worker) =>
        worker.isSurveyed ||
        this.#storedIncarnations.has(worker.incarnation) ||
        this.#scheduler.computeRemainingMs(worker, now) > 0,
    );
    if (this.#isWriting || !this.#leaderLease.isValid || !this.#isWriteNeeded(workers, now)) return;
    void this.#write(workers, now);
  }

  #isWriteNeeded(workers: readonly Worker[], now: number): boolean {
    if (!this.#isRosterStored(workers) || this.#scheduler.queueServices.isWriteNeeded) return true;
    const isStale = now - this.#lastWriteAt >= hostLimits.suspensionRefreshMs;
    return workers.some((worker) => {
      const name = worker.incarnation;
      if (this.#suspendedIncarnations.has(name) !== isStillSuspended(worker)) return true;
      return isStale && worker.isSuspended && this.#scheduler.computeRemainingMs(worker, now) > 0;
    });
  }

  #isRosterStored(workers: readonly Worker[]): boolean {
    return (
      !this.#isRosterUnknown &&
      workers.length === this.#storedIncarnations.size &&
      workers.every((worker) => this.#storedIncarnations.has(worker.incarnation))
    );
  }

  async #write(workers: readonly Worker[], now: number): Promise<void> {
    this.#isWriting = true;
    this.#lastWriteAt = now;
    const suspended = workers.filter(isStillSuspended);
    const suspensionRecords = suspended.map((worker): Suspension => {
      const remainingMs = Math.ceil(this.#scheduler.computeRemainingMs(worker, now));
      return { worker: worker.id, life: worker.life, remainingMs };
    });
    // The roster holds the entries of all workers, so it is written only when an incarnation was added or has ended.
    const roster = this.#isRosterStored(workers)
      ? []
      : [
          {
            key: storeKeys.roster,
            value: JSON.stringify({ workers: workers.map(({ entry }) => entry) }),
          },
        ];
    const queueServices = this.#beginQueueServicesWrite();
    const outcome = await this.#dependencies.store.commit({
      expected: [
        { key: storeKeys.holder, revision: this.#leaderLease.holderRevision },
        { key: storeKeys.roster, revision: this.#rosterRevision },
        { key: storeKeys.suspensions, revision: this.#suspensionsRevision },
        { key: storeKeys.queueServices, revision: this.#queueServicesRevision },
      ],
      put: [
        ...roster,
        ...(queueServices === undefined ? [] : [queueServices.item]),
        { key: storeKeys.suspensions, value: JSON.stringify({ workers: suspensionRecords }) },
      ],
    });
    if (outcome.isErr()) {
      await new Promise((resolve) => setTimeout(resolve, hostLimits.progressRetryMs));
    } else if (outcome.value.committed) {
      if (roster.length > 0) {
        this.#rosterRevision = outcome.value.revision;
        this.#isRosterUnknown = false;
      }
      if (queueServices !== undefined) {
        this.#queueServicesRevision = outcome.value.revision;
        this.#storedQueueServices = queueServices.item.value;
        this.#scheduler.queueServices.confirmWrite(queueServices.record);
      }
      this.#suspensionsRevision = outcome.value.revision;
      this.#applyWritten(workers, suspended);
    } else this.#handleConflict(outcome.value.items);
    this.#isWriting = false;
    this.#onChange();
  }

  /** Describes the services of the queues for the next write; undefined if the store lists them already. */
  #beginQueueServicesWrite(): QueueServicesWrite | undefined {
    const { queueServices } = this.#scheduler;
    const record = queueServices.describe();
    const value = JSON.stringify(record);
    if (value === this.#storedQueueServices) return undefined;
    this.#storedQueueServices = undefined;
    queueServices.beginWrite(record);
    return { record, item: { key: storeKeys.queueServices, value } };
  }

  #applyWritten(workers: readonly Worker[], suspended: readonly Worker[]): void {
    this.#storedIncarnations = new Set(workers.map(({ incarnation }) => incarnation));
    this.#suspendedIncarnations = new Set(suspended.map(({ incarnation }) => incarnation));
    for (const worker of workers) {
      if (!worker.isSuspended || this.#suspendedIncarnations.has(worker.incarnation)) continue;
      worker.resume();
      this.#log.write('workerResumed', { worker: worker.id, life: worker.life });
    }
  }

  #handleConflict(items: readonly StoreItem[]): void {
    const revisionOf = (key: string): number =>
      items.find((item) => item.key === key)?.revision ?? 0;
    if (revisionOf(storeKeys.holder) !== this.#leaderLease.holderRevision) {
      this.#dependencies.onLeaseLost('the store has another leader');
      return;
    }
    // An earlier write without an answer did take effect; the next write replaces it.
    if (revisionOf(storeKeys.roster) !== this.#rosterRevision) this.#isRosterUnknown = true;
    this.#rosterRevision = revisionOf(storeKeys.roster);
    this.#suspensionsRevision = revisionOf(storeKeys.suspensions);
    this.#queueServicesRevision = revisionOf(storeKeys.queueServices);
  }
}

/**
 * Checks whether a worker counts as unreachable. One that the platform no longer lists may still answer, so it counts
 * as reachable while it runs tasks, and its tasks keep their leases.
 */
const isUnreachable = ({ isListed, tasks, callFailures }: Worker): boolean =>
  callFailures >= suspensionFailureCount || (!isListed && tasks.size === 0);

/** Checks whether a worker stays suspended: until it can be reached and has reported what it runs. */
const isStillSuspended = (worker: Worker): boolean =>
  worker.isSuspended && (isUnreachable(worker) || !worker.isSurveyed);

/** Reads the workers of the stored roster; undefined if it cannot be decoded, so that any worker may run tasks. */
const readRoster = (item: StoreItem | undefined): readonly WorkerEntry[] | undefined => {
  if (item?.value === undefined) return [];
  return parseStoredRecord(validators.WorkerRoster, item.value)?.workers;
};

/** Reads the stored suspensions. Without them the next leader waits for the longest lease, which is always safe. */
const readSuspensions = (item: StoreItem | undefined): readonly Suspension[] => {
  if (item?.value === undefined) return [];
  return parseStoredRecord(validators.Suspensions, item.value)?.workers ?? [];
};

/** Reads the stored services of the queues; undefined if they are missing or cannot be decoded. */
const readQueueServices = (item: StoreItem | undefined): QueueServicesRecord | undefined =>
  item?.value === undefined
    ? undefined
    : parseStoredRecord(validators.QueueServicesRecord, item.value);
