import { createFailure } from './createFailure.js';
import type { Request } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import { periods } from './periods.js';
import type { Recovery } from './Recovery.js';
import type { RequestLifecycle } from './RequestLifecycle.js';
import type { RequestRecord } from './RequestRecord.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import type { TakeoverIndex } from './TakeoverIndex.js';
import type { WaitingQueue } from './WaitingQueue.js';
import type { WorkerRecord } from './WorkerRecord.js';

/** Parts of the shard that lost work is removed from. */
interface RelinquishedDependencies {
  readonly fleet: Fleet;
  readonly table: RequestTable;
  readonly queue: WaitingQueue;
  readonly recovery: Recovery;
  readonly lifecycle: RequestLifecycle;
  /** Whether the acceptance of a request still waits for its commit. */
  readonly isCommitting: (requestId: string) => boolean;
}

/**
 * Work that this shard has to stop: of queues that it gave up because the data centre is cut off, and
 * requests that other data centres took over.
 */
export class RelinquishedWork {
  readonly #context: ShardContext;
  readonly #dependencies: RelinquishedDependencies;
  /** Local monotonic time of the release of each queue, in milliseconds. */
  readonly #releasedAt = new Map<string, number>();
  #takeoverIndex: TakeoverIndex | undefined;

  /**
   * @param context - what the parts of the shard share
   * @param parts - the parts to change
   */
  public constructor(context: ShardContext, parts: RelinquishedDependencies) {
    this.#context = context;
    this.#dependencies = parts;
  }

  /**
   * Checks whether the work of a queue was given up.
   *
   * @param queue - name of the queue
   * @returns true until the ownership ends
   */
  public isQueueReleased(queue: string): boolean {
    return this.#releasedAt.has(queue);
  }

  /**
   * Checks whether a request passed to another data centre or was given up for one.
   *
   * @param request - the request
   * @returns true if the next owner of the shard must not get it from this one
   */
  public isRelinquished({ id, queue }: Request): boolean {
    const isTaken = this.#takeoverIndex?.isTakenOverFrom(id, this.#context.shard) === true;
    return isTaken || this.isQueueReleased(queue);
  }

  /**
   * Gives the work of queues up. That lasts until the ownership ends.
   *
   * @param queues - names of the queues
   */
  public releaseQueues(queues: ReadonlySet<string>): void {
    const { clock, recorder, shard, epoch } = this.#context;
    for (const queue of queues) {
      if (this.#releasedAt.has(queue)) continue;
      this.#releasedAt.set(queue, clock.now());
      const detail = `queue ${queue}: no contact with the store, so other data centres may take its work`;
      recorder.record('workReleased', { shard, epoch, detail });
    }
  }

  /**
   * Applies what passed to other data centres.
   *
   * @param book - the record of takeovers
   */
  public applyTakeovers(book: TakeoverIndex): void {
    const { shard } = this.#context;
    const hasLost = book.record.takeovers.some((each) => each.shard === shard);
    this.#takeoverIndex = hasLost ? book : undefined;
  }

  /** Stops what was lost, and forgets what has stopped. */
  public tick(): void {
    if (this.#takeoverIndex !== undefined) {
      for (const record of [...this.#dependencies.table.listOpen()]) {
        if (this.#takeoverIndex.isTakenOverFrom(record.id, this.#context.shard))
          this.#cancelTakenOver(record);
      }
    }
    this.removeReleased();
  }

  /** Removes requests of released queues; before each dispatch, which could start them again. */
  public removeReleased(): void {
    if (this.#releasedAt.size === 0) return;
    for (const record of [...this.#dependencies.table.listOpen()]) {
      if (this.#releasedAt.has(record.request.queue)) this.#releaseRequest(record);
    }
  }

  /**
   * Checks whether a worker must not get a new lease, because it did not stop released tasks in time.
   * Other data centres count on the end of its lease.
   *
   * @param worker - the worker
   * @returns true if its lease has to end
   */
  public isLeaseWithheld(worker: WorkerRecord): boolean {
    if (this.#releasedAt.size === 0) return false;
    const now = this.#context.clock.now();
    return worker.tasks.some(({ isActive, assignment }) => {
      const releasedAt = this.#releasedAt.get(assignment.request.queue);
      return isActive && releasedAt !== undefined && now - releasedAt >= periods.releaseStopMs;
    });
  }

  #cancelTakenOver(record: RequestRecord): void {
    if (record.stopPlan !== undefined) return;
    const successor = this.#takeoverIndex?.findSuccessor(record.id) ?? '';
    const failure = createFailure('cancelled', `the shard ${successor} took the request over`);
    this.#dependencies.lifecycle.stopRequest(record, { next: 'cancelled', failure });
  }

  /**
   * Nobody starts a non-idempotent request again, so it ends here as far as it is known. Any other one is
   * forgotten: its entry still holds it, or the journal does, and neither may learn of an end.
   */
  #releaseRequest(record: RequestRecord): void {
    const { lifecycle, queue, recovery, table } = this.#dependencies;
    const { idempotent, queue: name } = record.request;
    if (this.#dependencies.isCommitting(record.id)) return;
    if (!idempotent && (record.ran !== 'no' || !record.isAccepted)) {
      if (record.stopPlan !== undefined) return;
      const detail = `the data centre was cut off and gave the work of queue ${name} up`;
      const failure = createFailure(record.ran === 'no' ? 'noOwner' : 'outcomeUnknown', detail);
      lifecycle.stopRequest(record, { next: 'failed', failure });
      return;
    }
    if (record.activeTasks.length > 0) {
      if (record.stopPlan === undefined) lifecycle.stopRequest(record, { next: 'requeue' });
      return;
    }
    queue.remove(record);
    recovery.stopHolding(record);
    table.remove(record);
    this.#context.emit({ effect: 'changed', requestId: record.id });
  }
}
