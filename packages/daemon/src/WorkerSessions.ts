import type { Worker } from '@toucanline/jobs';
import { ReportPacing } from './ReportPacing.js';
import type { SessionContext } from './SessionContext.js';
import { WorkerSession } from './WorkerSession.js';

/** Sessions of a leader with all workers. */
export class WorkerSessions {
  readonly #context: SessionContext;
  readonly #sessions = new Map<Worker, WorkerSession>();
  readonly #pacing: ReportPacing;

  /**
   * @param context - what the sessions share, without the pacing of reports
   * @param processors - processor time of this host per second, in seconds
   */
  public constructor(context: Omit<SessionContext, 'pacing'>, processors: number) {
    this.#pacing = new ReportPacing(processors, performance.now());
    this.#context = { ...context, pacing: this.#pacing };
  }

  /**
   * Opens a session with a worker.
   *
   * @param worker - worker to survey and to poll for reports
   */
  public add(worker: Worker): void {
    const session = new WorkerSession(worker, this.#context);
    this.#sessions.set(worker, session);
    void session.run();
  }

  /**
   * Finds the session of a worker.
   *
   * @param worker - worker incarnation
   * @returns its session; undefined if the incarnation has ended
   */
  public find(worker: Worker): WorkerSession | undefined {
    return this.#sessions.get(worker);
  }

  /**
   * Opens the sessions of incarnations that are known only from a report, stops those of incarnations that have ended,
   * and updates the pause between reports.
   *
   * @param workers - workers that may run tasks
   */
  public update(workers: readonly Worker[]): void {
    for (const worker of workers) if (!this.#sessions.has(worker)) this.add(worker);
    const current = new Set(workers);
    for (const [worker, session] of this.#sessions) {
      if (current.has(worker)) continue;
      session.stop();
      this.#sessions.delete(worker);
      this.#context.workerClient.releaseAddress(worker.entry.address);
    }
    const { scheduler } = this.#context;
    const busyCount = workers.filter(
      (worker) => worker.tasks.size > 0 || scheduler.hasLateStarts(worker),
    ).length;
    this.#pacing.update(busyCount, performance.now());
  }

  /** Wakes all sessions, because written ends can be acknowledged. */
  public wakeAll(): void {
    for (const session of this.#sessions.values()) session.wake();
  }

  /** Stops all sessions. */
  public stopAll(): void {
    for (const session of this.#sessions.values()) session.stop();
  }
}
