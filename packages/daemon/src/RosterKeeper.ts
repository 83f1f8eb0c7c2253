import type { Scheduler, StoreItem, Worker } from '@toucanline/jobs';
import { validators, type Suspension, type WorkerEntry } from '@toucanline/schema';
import type { DecisionLog } from './DecisionLog.js';
import { hostTimes } from './hostTimes.js';
import type { LeadershipParts } from './LeadershipParts.js';
import type { LeaderClaim } from './LeaderClaim.js';
import { parseStored } from './parseStored.js';
import { storeKeys } from './storeKeys.js';

/** Calls in a row without an answer after which a worker is suspended. */
const suspensionFailures = 2;

const nameLife = ({ id, life }: { readonly id: string; readonly life: number }): string =>
  `${id}/${life}`;

/**
 * Tells a successor which workers may run something. Orders and leases go only to workers that stand in the roster
 * in the store and are not suspended there. A worker that does not answer is suspended, so that a successor that does
 * not reach it either waits only for what is left of its leases, not for the longest ones.
 */
export class RosterKeeper {
  readonly #parts: LeadershipParts;
  readonly #claim: LeaderClaim;
  readonly #scheduler: Scheduler;
  readonly #log: DecisionLog;
  readonly #changed: () => void;
  /** Incarnations in the stored roster. */
  #stored = new Set<string>();
  /** Suspended incarnations in the store. */
  #suspended = new Set<string>();
  #rosterRevision = 0;
  #suspensionsRevision = 0;
  #writtenAt = 0;
  #isWriting = false;

  /**
   * @param parts - what the leader needs of its host
   * @param claim - claim of the term
   * @param scheduler - has the workers
   * @param changed - called when orders to more workers may be possible
   */
  public constructor(
    parts: LeadershipParts,
    claim: LeaderClaim,
    scheduler: Scheduler,
    changed: () => void,
  ) {
    this.#parts = parts;
    this.#claim = claim;
    this.#scheduler = scheduler;
    this.#log = parts.log;
    this.#changed = changed;
  }

  /**
   * Takes what the previous leader wrote.
   *
   * @param roster - stored roster
   * @param suspensions - stored suspensions
   * @returns workers that must be surveyed
   */
  public inherit(
    roster: StoreItem | undefined,
    suspensions: StoreItem | undefined,
  ): readonly Worker[] {
    this.#rosterRevision = roster?.revision ?? 0;
    this.#suspensionsRevision = suspensions?.revision ?? 0;
    const rows = readSuspensions(suspensions);
    const remaining = new Map(
      rows.map(({ worker, life, remainingMs }) => [nameLife({ id: worker, life }), remainingMs]),
    );
    this.#suspended = new Set(remaining.keys());
    const workers: Worker[] = [];
    for (const entry of readRoster(roster)) {
      const name = nameLife(entry);
      this.#stored.add(name);
      const worker = this.#scheduler.updateWorker(entry, true, remaining.get(name));
      if (worker === undefined) continue;
      if (this.#suspended.has(name)) worker.suspend();
      workers.push(worker);
    }
    return workers;
  }

  /**
   * Suspends workers that are not reached, and writes what has changed.
   *
   * @param now - monotonic time
   */
  public update(now: number): void {
    const { workers } = this.#scheduler;
    for (const worker of workers) {
      const name = nameLife(worker);
      const isKept = this.#stored.has(name) && !this.#suspended.has(name);
      if (worker.isSuspended || (isKept && !isOutOfReach(worker))) continue;
      worker.suspend();
      this.#log.write('workerSuspended', {
        worker: worker.id,
        life: worker.life,
        listed: worker.isListed ? 'yes' : 'no',
        callFailures: worker.callFailures,
        remainingMs: Math.round(this.#scheduler.remainingMs(worker, now)),
      });
    }
    if (this.#isWriting || !this.#claim.isCurrent || !this.#mustWrite(workers, now)) return;
    void this.#write(workers, now);
  }

  #mustWrite(workers: readonly Worker[], now: number): boolean {
    if (workers.length !== this.#stored.size) return true;
    const isStale = now - this.#writtenAt >= hostTimes.suspensionRefreshMs;
    return workers.some((worker) => {
      const name = nameLife(worker);
      if (!this.#stored.has(name)) return true;
      if (this.#suspended.has(name) !== mustStaySuspended(worker)) return true;
      return isStale && worker.isSuspended && this.#scheduler.remainingMs(worker, now) > 0;
    });
  }

  async #write(workers: readonly Worker[], now: number): Promise<void> {
    this.#isWriting = true;
    this.#writtenAt = now;
    const suspended = workers.filter(mustStaySuspended);
    const rows = suspended.map((worker): Suspension => {
      const remainingMs = Math.ceil(this.#scheduler.remainingMs(worker, now));
      return { worker: worker.id, life: worker.life, remainingMs };
    });
    const entries = workers.map(({ entry }) => entry);
    const outcome = await this.#parts.store.commit({
      expected: [
        { key: storeKeys.holder, revision: this.#claim.revision },
        { key: storeKeys.roster, revision: this.#rosterRevision },
        { key: storeKeys.suspensions, revision: this.#suspensionsRevision },
      ],
      put: [
        { key: storeKeys.roster, value: JSON.stringify({ workers: entries }) },
        { key: storeKeys.suspensions, value: JSON.stringify({ workers: rows }) },
      ],
    });
    if (outcome.isErr()) {
      await new Promise((resolve) => setTimeout(resolve, hostTimes.progressRetryMs));
    } else if (outcome.value.committed) {
      this.#rosterRevision = outcome.value.revision;
      this.#suspensionsRevision = outcome.value.revision;
      this.#takeWritten(workers, suspended);
    } else this.#takeConflict(outcome.value.items);
    this.#isWriting = false;
    this.#changed();
  }

  #takeWritten(workers: readonly Worker[], suspended: readonly Worker[]): void {
    this.#stored = new Set(workers.map(nameLife));
    this.#suspended = new Set(suspended.map(nameLife));
    for (const worker of workers) {
      if (!worker.isSuspended || this.#suspended.has(nameLife(worker))) continue;
      worker.resume();
      this.#log.write('workerResumed', { worker: worker.id, life: worker.life });
    }
  }

  #takeConflict(items: readonly StoreItem[]): void {
    const revisionOf = (key: string): number =>
      items.find((item) => item.key === key)?.revision ?? 0;
    if (revisionOf(storeKeys.holder) !== this.#claim.revision) {
      this.#parts.lost('the store has another leader');
      return;
    }
    // An earlier write without an answer took effect after all; the next one replaces it.
    this.#rosterRevision = revisionOf(storeKeys.roster);
    this.#suspensionsRevision = revisionOf(storeKeys.suspensions);
  }
}

/** A worker that the platform no longer lists may still be reached; its tasks keep their leases then. */
const isOutOfReach = ({ isListed, tasks, callFailures }: Worker): boolean =>
  callFailures >= suspensionFailures || (!isListed && tasks.size === 0);

/** A suspended worker resumes once it is reached and has told what it runs. */
const mustStaySuspended = (worker: Worker): boolean =>
  worker.isSuspended && (isOutOfReach(worker) || !worker.isSurveyed);

const readRoster = (item: StoreItem | undefined): readonly WorkerEntry[] => {
  if (item?.value === undefined) return [];
  return parseStored(validators.WorkerRoster, item.value)?.workers ?? [];
};

const readSuspensions = (item: StoreItem | undefined): readonly Suspension[] => {
  if (item?.value === undefined) return [];
  return parseStored(validators.Suspensions, item.value)?.workers ?? [];
};
