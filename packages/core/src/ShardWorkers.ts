import type { Failure, HostRecord, Renewal, Report, WorkerRefusal } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { createFailure } from './createFailure.js';
import { periods } from './periods.js';
import type { ShardContext } from './ShardContext.js';
import type { ShardComponents } from './ShardComponents.js';

/** Handles the messages between the owner of a shard and its workers. */
export class ShardWorkers {
  readonly #context: ShardContext;
  readonly #components: ShardComponents;
  readonly #onReport: () => void;

  /**
   * @param context - identity and services that the components of the shard share
   * @param components - components of the shard
   * @param onReport - called after a report was applied
   */
  public constructor(context: ShardContext, components: ShardComponents, onReport: () => void) {
    this.#context = context;
    this.#components = components;
    this.#onReport = onReport;
  }

  /**
   * Applies the host list.
   *
   * @param hosts - workers of this shard
   */
  public applyHosts(hosts: readonly HostRecord[]): void {
    this.#components.fleet.applyHosts(hosts);
    this.#components.quarantine.applyHosts();
    this.#components.recovery.markHostsRead();
  }

  /**
   * Starts or ends an operator's drain of a worker.
   *
   * @param workerId - name of the worker
   * @param drained - whether the worker gets no new work
   * @returns nothing; `unknownWorker` if the worker is not in the fleet
   */
  public drain(workerId: string, drained: boolean): Result<void, Failure> {
    const worker = this.#components.fleet.find(workerId);
    if (worker === undefined) {
      return err(createFailure('unknownWorker', `no worker ${workerId} in ${this.#context.shard}`));
    }
    this.#components.fleet.setDrained(workerId, drained);
    this.#context.recorder.record('workerLeaving', {
      worker: workerId,
      detail: drained ? 'drained by an operator' : 'drain ended by an operator',
    });
    return ok(undefined);
  }

  /**
   * Creates the next lease renewal for a worker.
   *
   * @param workerId - name of the worker
   * @returns the address and the message; undefined if the worker left the fleet
   */
  public createRenewal(
    workerId: string,
  ): { readonly address: string; readonly renewal: Renewal } | undefined {
    const worker = this.#components.fleet.find(workerId);
    if (worker === undefined) return undefined;
    const { shard, epoch, owner, provisional } = this.#context;
    const isKnown =
      worker.clock !== undefined && !worker.isLeaseExpired && !worker.contact.hasRestarted;
    // A candidate without a majority requests short leases, so that it does not block the candidate that wins.
    const isCandidate = provisional && !this.#components.majority.isHeld();
    const leaseMs = isCandidate ? periods.candidateLeaseMs : periods.workerLeaseMs;
    const waitMs = isCandidate ? periods.candidatePollMs : periods.workerPollMs;
    // The lease counts from the last report, not from now. Otherwise each attempt to reach a dead worker would
    // extend the lease that it might hold, and its tasks would never be marked as lost.
    const reportedClockMs = worker.clock?.reportedClockMs ?? 0;
    const isWithheld = isKnown && this.#components.relinquished.isLeaseWithheld(worker);
    const leaseUntil = isWithheld ? worker.leaseUntil : isKnown ? reportedClockMs + leaseMs : 0;
    if (isKnown) worker.contact.grantLease(leaseUntil);
    return {
      address: worker.address,
      renewal: {
        authority: { shard, epoch, owner, provisional, bootId: isKnown ? worker.bootId : '' },
        leaseUntil,
        acknowledged: isKnown ? worker.contact.sequence : 0,
        full: worker.contact.needsFullReport,
        waitMs: isKnown && !worker.contact.needsFullReport ? waitMs : 0,
      },
    };
  }

  /**
   * Applies the report of a worker.
   *
   * @param workerId - name of the worker
   * @param report - the report
   * @param sentAt - monotonic time before the renewal was sent in milliseconds
   */
  public applyReport(workerId: string, report: Report, sentAt: number): void {
    const worker = this.#components.fleet.find(workerId);
    if (worker === undefined) return;
    const { epoch, owner } = this.#context;
    if (report.epoch > epoch || (report.epoch === epoch && report.owner !== owner)) {
      this.#standDown(`worker ${workerId} accepted epoch ${report.epoch}`, report.epoch);
      return;
    }
    this.#components.tracker.applyReport(worker, report, sentAt);
    this.#onReport();
  }

  /**
   * Applies a worker's refusal of a renewal or a command. If another owner still holds the lease, it is
   * requested again with the next renewal.
   *
   * @param workerId - name of the worker
   * @param refusal - the refusal
   */
  public applyRefusal(workerId: string, refusal: WorkerRefusal): void {
    const worker = this.#components.fleet.find(workerId);
    if (refusal.refusal === 'staleEpoch') {
      this.#standDown(`worker ${workerId}: ${refusal.detail}`, refusal.epoch);
    } else if (refusal.refusal === 'wrongBoot') worker?.contact.markRestarted();
    else if (refusal.refusal !== 'leaseHeld') worker?.contact.requestFullReport();
  }

  /**
   * Applies the response to a start command.
   *
   * @param requestId - identifier of the request
   * @param index - index of the task
   * @param taskId - identifier of the attempt
   * @param response - undefined if the worker accepted; its refusal; or a failure if the outcome is unknown
   */
  public applyStartResponse(
    requestId: string,
    index: number,
    taskId: string,
    response?: WorkerRefusal | Failure,
  ): void {
    const task = this.#components.table.find(requestId)?.findTask(index);
    if (task?.id === taskId) this.#components.tracker.applyStartResponse(task, response);
    if (response === undefined || !('refusal' in response)) return;
    if (response.refusal === 'staleEpoch') this.#standDown(response.detail, response.epoch);
    if (response.refusal === 'wrongBoot' && task !== undefined) {
      this.#components.fleet.find(task.worker)?.contact.markRestarted();
    }
  }

  #standDown(detail: string, epoch: number): void {
    this.#context.emit({ effect: 'standDown', detail, epoch });
  }
}
