import type { Worker, WorkerClient } from '@toucanline/jobs';
import type { WorkerReport } from '@toucanline/schema';
import type { SessionContext } from './SessionContext.js';
import { hostLimits } from './hostLimits.js';

/** Renews the leases of one worker's tasks and collects the ends of its runs, by repeated reports. */
export class WorkerSession {
  readonly #worker: Worker;
  readonly #context: SessionContext;
  #wake: (() => void) | undefined;
  #isStopped = false;

  /**
   * @param worker - worker incarnation
   * @param context - what all sessions share
   */
  public constructor(worker: Worker, context: SessionContext) {
    this.#worker = worker;
    this.#context = context;
  }

  /** Polls the worker until the session is stopped. */
  public async run(): Promise<void> {
    while (!this.#hasStopped()) {
      try {
        await this.#step();
      } catch (error) {
        this.#context.log.writeError(`session of worker ${this.#worker.id}`, error);
        await this.#sleep(hostLimits.reportRetryMs);
      }
    }
  }

  /** Stops the session. */
  public stop(): void {
    this.#isStopped = true;
    this.wake();
  }

  /**
   * Requests a report at once, in parallel to a pending one that waits for the end of a run. Does nothing once commands
   * must not be issued any more.
   */
  public async pollNow(): Promise<void> {
    const { leaderLease, scheduler, onChange } = this.#context;
    if (this.#isStopped || !leaderLease.canIssueCommands) return;
    const worker = this.#worker;
    const sentAt = performance.now();
    const leaseUntilMs = this.#extendWorkerLease(sentAt);
    const report = await this.#requestReport(leaseUntilMs, 0);
    if (typeof report === 'string' || this.#hasStopped()) return;
    scheduler.handleReport(worker, report, sentAt, performance.now(), Date.now());
    onChange();
  }

  /** Ends the current pause, because the worker was given a task or its ends were written. */
  public wake(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }

  async #step(): Promise<void> {
    if (!this.#context.scheduler.isReportNeeded(this.#worker)) await this.#sleepIdle();
    else if (!this.#context.leaderLease.canIssueCommands)
      await this.#sleep(hostLimits.reportRetryMs);
    else await this.#pollReport();
  }

  /** Waits until a report is needed, and meanwhile reads the clock of the worker at intervals if that is required. */
  async #sleepIdle(): Promise<void> {
    const { idleReportMs, leaderLease, workerClient } = this.#context;
    await this.#sleep(idleReportMs);
    const worker = this.#worker;
    if (idleReportMs === undefined || this.#hasStopped()) return;
    if (this.#context.scheduler.isReportNeeded(worker)) return;
    if (!leaderLease.canIssueCommands || performance.now() - worker.lastContactAt < idleReportMs)
      return;
    const sentAt = performance.now();
    const { entry, fence } = worker;
    const report = await workerClient.requestReport(entry, fence.token, 0, undefined, 0);
    // A worker that is started again under its id is found out by the next call to it, as without this report.
    if (this.#hasStopped() || typeof report === 'string' || report.life !== worker.life) return;
    if (worker.lastContactAt < sentAt) worker.recordContact(report.clockMs, performance.now());
  }

  #hasStopped(): boolean {
    return this.#isStopped;
  }

  get #hasUnwrittenEnds(): boolean {
    return this.#worker.processedThrough > this.#worker.acknowledgedThrough;
  }

  /**
   * Extends the lease of the worker's tasks unless the worker is suspended: the next leader relies on no lease being
   * granted after the suspension.
   */
  #extendWorkerLease(now: number): number | undefined {
    const worker = this.#worker;
    return worker.isSurveyed && !worker.isSuspended ? worker.extendLease(now) : undefined;
  }

  async #pollReport(): Promise<void> {
    const { workerClient, leaderLease, scheduler, log, reportWaitMs } = this.#context;
    const worker = this.#worker;
    // While ends are unwritten, the worker would answer each request at once; the write wakes the session.
    if (this.#hasUnwrittenEnds) await this.#sleep(hostLimits.unwrittenEndsPauseMs);
    // Without the acknowledgement the worker would answer at once and list the same ends again.
    if (worker.isAcknowledgementDelayed) await this.#sleep(hostLimits.startAnswerPauseMs);
    if (this.#hasStopped() || !leaderLease.canIssueCommands) return;
    const sentAt = performance.now();
    const { acknowledgement } = worker;
    const fencingToken = worker.fence.token;
    // A crash leaves a waiting request without a response. With an acknowledgement that is safe only while no start may be
    // executed late: both could be executed by an incarnation that this leader does not know yet.
    const mayWait =
      worker.isSurveyed &&
      worker.tasks.size > 0 &&
      (acknowledgement === 0 || !scheduler.hasLateStarts(worker));
    const leaseUntilMs = this.#extendWorkerLease(sentAt);
    const report = await this.#requestReport(leaseUntilMs, mayWait ? reportWaitMs : 0);
    if (this.#hasStopped()) return;
    const now = performance.now();
    if (acknowledgement > 0 && report === 'unknown') {
      log.write('acknowledgementUnanswered', {
        worker: worker.id,
        life: worker.life,
        through: acknowledgement,
        ageMs: Math.round(now - sentAt),
      });
    }
    if (typeof report === 'string') {
      await this.#handleFailure(report, now, sentAt, fencingToken);
      return;
    }
    this.#context.pacing.recordReport();
    if (report.life !== worker.life) {
      log.write('workerRestarted', {
        worker: worker.id,
        life: worker.life,
        nextLife: report.life,
        tasks: worker.tasks.size,
      });
    }
    this.#logMissingEnds(report);
    const wasSurveyed = worker.isSurveyed;
    const strays = scheduler.handleReport(worker, report, sentAt, now, Date.now());
    if (!wasSurveyed) {
      log.write('workerSurveyed', {
        worker: worker.id,
        life: worker.life,
        running: report.running.length,
        ended: report.ended.length,
        firstEnd: report.ended[0]?.number ?? 0,
        strays: strays.length,
        freeMilliProcessors: worker.free.milliProcessors,
        freeMemoryMb: worker.free.memoryMb,
      });
    }
    for (const { task, run } of strays) {
      log.write('strayRunStopped', { task, run, worker: worker.id });
      void workerClient.stop(worker.entry, task, run, worker.fence.token);
    }
    this.#context.onChange();
    if (wasSurveyed) await this.#sleep(this.#context.pacing.pauseMs);
  }

  /** Requests a report that acknowledges run ends if the worker certainly has not started anew. */
  async #requestReport(
    leaseUntilMs: number | undefined,
    waitMs: number,
  ): ReturnType<WorkerClient['requestReport']> {
    const worker = this.#worker;
    const { entry, acknowledgement } = worker;
    const token = acknowledgement > 0 ? worker.fence.beginAcknowledgement() : worker.fence.token;
    const { workerClient } = this.#context;
    worker.beginReportRequest(performance.now());
    const report = await workerClient
      .requestReport(entry, token, acknowledgement, leaseUntilMs, waitMs)
      .finally(() => {
        worker.endReportRequest();
      });
    if (acknowledgement > 0 && report !== 'unknown') worker.fence.endAcknowledgement(token);
    return report;
  }

  /** Logs a gap in the numbers of run ends. */
  #logMissingEnds({ life, ended }: WorkerReport): void {
    const worker = this.#worker;
    const firstListed = ended[0]?.number ?? 0;
    if (!worker.isSurveyed || !worker.isNumberingKnown || life !== worker.life) return;
    if (firstListed <= worker.processedThrough + 1) return;
    this.#context.log.write('runEndsMissing', {
      worker: worker.id,
      life,
      processedThrough: worker.processedThrough,
      firstListed,
    });
  }

  async #handleFailure(
    failure: 'fenced' | 'otherLife' | 'refused' | 'unknown',
    now: number,
    sentAt: number,
    fencingToken: number,
  ): Promise<void> {
    const { scheduler, log, onChange, onFenced } = this.#context;
    const worker = this.#worker;
    log.write('workerUnreachable', {
      worker: worker.id,
      failure,
      contactAgeMs: Math.round(Math.min(now - worker.lastContactAt, 1e9)),
      tasks: worker.tasks.size,
    });
    if (failure === 'fenced') {
      if (scheduler.isOvertaken(worker, fencingToken))
        await this.#sleep(hostLimits.minReportPauseMs);
      else onFenced();
      return;
    }
    worker.recordCallFailure(now, sentAt);
    // A refused connection does not prove that the incarnation has ended: partitions refuse connections as well.
    if (failure === 'otherLife') {
      scheduler.endIncarnation(worker);
      onChange();
    }
    await this.#sleep(hostLimits.reportRetryMs);
  }

  /**
   * Waits until woken, or for the given time.
   *
   * @param ms - longest wait, in milliseconds; undefined waits until woken
   */
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
