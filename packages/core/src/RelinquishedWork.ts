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

/** Components of the shard that relinquished work is removed from. */
interface RelinquishedDependencies {
  readonly fleet: Fleet;
  readonly table: RequestTable;
  readonly queue: WaitingQueue;
  readonly recovery: Recovery;
  readonly lifecycle: RequestLifecycle;
  /** Whether the acceptance of a request is not committed yet. */
  readonly isCommitting: (requestId: string) => boolean;
}

/**
 * Stops work that this shard no longer owns: queues that it released because the data centre is cut off, and
 * requests that other data centres took over.
 */
export class RelinquishedWork {
  readonly #context: ShardContext;
  readonly #dependencies: RelinquishedDependencies;
  /** Released queues with the monotonic time of their release in milliseconds. */
  readonly #releasedAt = new Map<string, number>();
  #takeoverIndex: TakeoverIndex | undefined;

  /**
   * @param context - identity and services that the components of the shard share
   * @param dependencies - components to remove work from
   */
  public constructor(context: ShardContext, dependencies: RelinquishedDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
  }

  /**
   * Checks whether a queue was released.
   *
   * @param queue - name of the queue
   * @returns true from its release until the end of the ownership
   */
  public isQueueReleased(queue: string): boolean {
    return this.#releasedAt.has(queue);
  }

  /**
   * Checks whether a request was taken over by another data centre or is in a released queue.
   *
   * @param request - the request
   * @returns true if it must not be handed to the next owner of the shard
   */
  public isRelinquished({ id, queue }: Request): boolean {
    const isTaken = this.#takeoverIndex?.isTakenOverFrom(id, this.#context.shard) === true;
    return isTaken || this.isQueueReleased(queue);
  }

  /**
   * Releases queues until the end of the ownership.
   *
   * @param queues - names of the queues
   */
  public releaseQueues(queues: ReadonlySet<string>): void {
    const { clock, recorder, shard, epoch } = this.#context;
    for (const queue of queues) {
      if (this.#releasedAt.has(queue)) continue;
      this.#releasedAt.set(queue, clock.now());
      const detail = `queue ${queue}: no contact with the store, so other data centres may take over its work`;
      recorder.record('workReleased', { shard, epoch, detail });
    }
  }

  /**
   * Applies the record of takeovers.
   *
   * @param takeovers - newest record
   */
  public applyTakeovers(takeovers: TakeoverIndex): void {
    const { shard } = this.#context;
    const isAffected = takeovers.record.takeovers.some((each) => each.shard === shard);
    this.#takeoverIndex = isAffected ? takeovers : undefined;
  }

  /** Stops requests that were taken over, and removes those of released queues. */
  public tick(): void {
    if (this.#takeoverIndex !== undefined) {
      for (const record of [...this.#dependencies.table.listOpen()]) {
        if (this.#takeoverIndex.isTakenOverFrom(record.id, this.#context.shard))
          this.#cancelTakenOver(record);
      }
    }
    this.removeReleased();
  }

  /** Removes requests of released queues. Has to run before each dispatch, which could start them again. */
  public removeReleased(): void {
    if (this.#releasedAt.size === 0) return;
    for (const record of [...this.#dependencies.table.listOpen()]) {
      if (this.#releasedAt.has(record.request.queue)) this.#releaseRequest(record);
    }
  }

  /**
   * Checks whether a worker must not get a new lease because it did not stop tasks of released queues in time.
   * Other data centres rely on the expiry of its lease.
   *
   * @param worker - the worker
   * @returns true if its lease has to expire
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
    const failure = createFailure('cancelled', `the request was taken over by shard ${successor}`);
    this.#dependencies.lifecycle.stopRequest(record, { next: 'cancelled', failure });
  }

  /**
   * Removes a request of a released queue. A non-idempotent request that may have started is not started again
   * elsewhere, so it is finished here with what is known. Any other request is dropped without a completion,
   * because its entry or the journal still has it and another data centre may run it.
   */
  #releaseRequest(record: RequestRecord): void {
    const { lifecycle, queue, recovery, table } = this.#dependencies;
    const { idempotent, queue: name } = record.request;
    if (this.#dependencies.isCommitting(record.id)) return;
    if (!idempotent && (record.ran !== 'no' || !record.isAccepted)) {
      if (record.stopPlan !== undefined) return;
      const detail = `the data centre was cut off and released queue ${name}`;
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
