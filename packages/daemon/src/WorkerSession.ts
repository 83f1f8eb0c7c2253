import type { Worker } from '@toucanline/jobs';
import type { SessionContext } from './SessionContext.js';
import { hostLimits } from './hostLimits.js';

/** Keeps the leases of one worker's tasks and collects their ends. */
export class WorkerSession {
  readonly #worker: Worker;
  readonly #context: SessionContext;
  #wake: (() => void) | undefined;
  #isStopped = false;

  /**
   * @param worker - the worker
   * @param context - what the drivers share
   */
  public constructor(worker: Worker, context: SessionContext) {
    this.#worker = worker;
    this.#context = context;
  }

  /** Runs until stopped or the incarnation ended. */
  public async run(): Promise<void> {
    while (!this.#hasStopped()) {
      if (!this.#isReportNeeded) await this.#sleep(undefined);
      else if (!this.#context.leaderLease.canIssueCommands)
        await this.#sleep(hostLimits.reportRetryMs);
      else await this.#pollReport();
    }
  }

  /** Ends the driver. */
  public stop(): void {
    this.#isStopped = true;
    this.wake();
  }

  /** Reads at once what the worker runs, beside a report that waits for an end. */
  public async pollNow(): Promise<void> {
    const { control, leaderLease: claim, scheduler, onChange: changed } = this.#context;
    const worker = this.#worker;
    const sentAt = performance.now();
    const lease = this.#extendWorkerLease(sentAt);
    const report = await control.requestReport(
      worker.entry,
      claim.term,
      worker.acknowledgedThrough,
      lease,
      0,
    );
    if (typeof report === 'string' || this.#hasStopped()) return;
    scheduler.handleReport(worker, report, sentAt, performance.now(), Date.now());
    changed();
  }

  /** Ends a rest: the worker got work, or its ends were written. */
  public wake(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }

  #hasStopped(): boolean {
    return this.#isStopped;
  }

  get #isReportNeeded(): boolean {
    const {
      tasks,
      hasStrays,
      isSurveyed,
      processedThrough: seenThrough,
      acknowledgedThrough,
    } = this.#worker;
    return tasks.size > 0 || hasStrays || !isSurveyed || seenThrough > acknowledgedThrough;
  }

  get #hasUnwrittenEnds(): boolean {
    return this.#worker.processedThrough > this.#worker.acknowledgedThrough;
  }

  /** A successor counts on no lease beyond those granted before the suspension. */
  #extendWorkerLease(now: number): number | undefined {
    const worker = this.#worker;
    return worker.isSurveyed && !worker.isSuspended ? worker.extendLease(now) : undefined;
  }

  async #pollReport(): Promise<void> {
    const { control, leaderLease: claim, scheduler, log } = this.#context;
    const worker = this.#worker;
    // While ends are unwritten the worker would answer at once each time; the write wakes the driver.
    if (this.#hasUnwrittenEnds) await this.#sleep(hostLimits.unwrittenEndsPauseMs);
    if (this.#hasStopped() || !claim.canIssueCommands) return;
    const sentAt = performance.now();
    const waitMs = worker.isSurveyed && worker.tasks.size > 0 ? hostLimits.reportWaitMs : 0;
    const leaseUntilMs = this.#extendWorkerLease(sentAt);
    const report = await control.requestReport(
      worker.entry,
      claim.term,
      worker.acknowledgedThrough,
      leaseUntilMs,
      waitMs,
    );
    if (this.#hasStopped()) return;
    const now = performance.now();
    if (typeof report === 'string') {
      await this.#handleFailure(report, now, sentAt);
      return;
    }
    const wasSurveyed = worker.isSurveyed;
    const strays = scheduler.handleReport(worker, report, sentAt, now, Date.now());
    if (!wasSurveyed) {
      log.write('workerSurveyed', {
        worker: worker.id,
        life: worker.life,
        running: report.running.length,
        ended: report.ended.length,
        strays: strays.length,
        freeMilliProcessors: worker.free.milliProcessors,
        freeMemoryMb: worker.free.memoryMb,
      });
    }
    for (const { task, run } of strays) {
      log.write('strayRunStopped', { task, run, worker: worker.id });
      void control.stop(worker.entry, task, run, claim.term);
    }
    this.#context.onChange();
    if (wasSurveyed) await this.#sleep(this.#context.reportPauseMs());
  }

  async #handleFailure(
    failure: 'fenced' | 'otherLife' | 'refused' | 'unknown',
    now: number,
    sentAt: number,
  ): Promise<void> {
    const { scheduler, log, onChange: changed, onFenced: fenced } = this.#context;
    const worker = this.#worker;
    log.write('workerUnreachable', {
      worker: worker.id,
      failure,
      contactAgeMs: Math.round(Math.min(now - worker.lastContactAt, 1e9)),
      tasks: worker.tasks.size,
    });
    if (failure === 'fenced') {
      fenced();
      return;
    }
    worker.recordCallFailure(now, sentAt);
    // A refused connection proves nothing: partitions refuse connections as well.
    if (failure === 'otherLife') {
      scheduler.endIncarnation(worker);
      changed();
    }
    await this.#sleep(hostLimits.reportRetryMs);
  }

  /** Waits until woken, at most for a time. */
  async #sleep(ms: number | undefined): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = ms === undefined ? undefined : setTimeout(resolve, ms);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#wake = undefined;
  }
}
