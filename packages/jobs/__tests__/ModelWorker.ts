import type { RunEnd, WorkerEntry, WorkerReport } from '@toucanline/schema';
import type { StartOutcome } from '../src/index.js';
import type { InvariantChecker } from './InvariantChecker.js';

interface ModelRun {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  readonly endsAt: number;
  readonly outcome: RunEnd['outcome'];
}

/** Duration of a stop in milliseconds; meanwhile the run holds its resources, but is reported in neither list. */
const stopMs = 150;

/**
 * Model of one incarnation of a platform worker as the engine sees it: a clock that starts with it, fencing, leases, run
 * numbers and reported run ends.
 */
export class ModelWorker {
  public readonly entry: WorkerEntry;
  /** Whether its tasks make no progress, although it responds. */
  public isStalled = false;
  readonly #checker: InvariantChecker;
  readonly #startedAt: number;
  readonly #runs = new Map<string, ModelRun>();
  readonly #stopping = new Map<string, ModelRun>();
  readonly #highestRuns = new Map<string, number>();
  #ended: readonly RunEnd[] = [];
  readonly #doneAt = new Map<string, number>();
  #nextEndNumber = 1;
  #token = 0;
  #leaseUntil = 0;

  public constructor(entry: WorkerEntry, checker: InvariantChecker, startedAt = 0) {
    this.entry = entry;
    this.#startedAt = startedAt;
    this.#checker = checker;
  }

  /**
   * Finds since when the worker has listed that a task is done.
   *
   * @returns simulated time in milliseconds; infinite if it does not list that
   */
  public findListedSince(task: string): number {
    const isListed = this.#ended.some((end) => end.task === task && end.outcome === 'done');
    return isListed ? (this.#doneAt.get(task) ?? Infinity) : Infinity;
  }

  public get running(): readonly string[] {
    return [...this.#runs.keys(), ...this.#stopping.keys()];
  }

  /** Reads the clock of the worker. */
  public readClock(now: number): number {
    return now - this.#startedAt;
  }

  public start(
    command: { readonly task: string; readonly run: number; readonly token: number },
    leaseUntil: number,
    now: number,
    durationMs: number,
    outcome: RunEnd['outcome'],
  ): StartOutcome {
    this.advance(now);
    const { task, run, token } = command;
    if (token < this.#token) return 'fenced';
    this.#token = token;
    if (leaseUntil <= this.readClock(now)) return 'late';
    this.#extendLease(leaseUntil, now);
    if (this.#runs.get(task)?.run === run) return 'started';
    if (run <= (this.#highestRuns.get(task) ?? 0)) return 'old';
    this.#highestRuns.set(task, run);
    this.#checker.checkStart(this, task, now);
    this.#runs.set(task, { task, run, startedAt: now, endsAt: now + durationMs, outcome });
    return 'started';
  }

  public stop(task: string, run: number, token: number, now: number): 'confirmed' | 'fenced' {
    this.advance(now);
    if (token < this.#token) return 'fenced';
    this.#token = token;
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
    const current = this.#runs.get(task);
    if (current !== undefined && current.run <= run) {
      this.#runs.delete(task);
      this.#stopping.set(task, { ...current, endsAt: now + stopMs, outcome: 'stopped' });
    }
    return 'confirmed';
  }

  public report(
    token: number,
    through: number,
    leaseUntil: number | undefined,
    now: number,
  ): WorkerReport | 'fenced' {
    this.advance(now);
    if (token < this.#token) return 'fenced';
    this.#token = token;
    if (leaseUntil !== undefined) this.#extendLease(leaseUntil, now);
    for (const { number, task, outcome } of this.#ended) {
      if (number <= through && outcome === 'done') this.#checker.recordAcknowledged(task);
    }
    this.#ended = this.#ended.filter(({ number }) => number > through);
    return {
      life: this.entry.life,
      clockMs: this.readClock(now),
      running: [...this.#runs.values()].map(({ task, run, startedAt, endsAt }) => ({
        task,
        run,
        checkpoint: '',
        percent: this.isStalled ? 0 : Math.floor((100 * (now - startedAt)) / (endsAt - startedAt)),
        load: 0,
      })),
      ended: [...this.#ended],
    };
  }

  /** Ends the runs that have completed, have been stopped or have lost their lease by now. */
  public advance(now: number): void {
    for (const run of [...this.#runs.values()]) {
      const isOver = run.endsAt <= Math.min(now, this.#leaseUntil);
      if (isOver && !this.isStalled) this.#endRun(run, run.outcome);
      else if (this.#leaseUntil <= now) this.#endRun(run, 'lapsed');
    }
    for (const run of [...this.#stopping.values()]) {
      if (run.endsAt <= now) this.#endRun(run, 'stopped');
    }
  }

  #extendLease(leaseUntil: number, now: number): void {
    const expiresAt = Math.min(this.#startedAt + leaseUntil, now + 6000);
    this.#leaseUntil = Math.max(this.#leaseUntil, expiresAt);
  }

  #endRun({ task, run, endsAt }: ModelRun, outcome: RunEnd['outcome']): void {
    if (outcome === 'done') {
      this.#checker.recordDone(task);
      this.#doneAt.set(task, endsAt);
    }
    this.#runs.delete(task);
    this.#stopping.delete(task);
    this.#ended = [
      ...this.#ended,
      { number: this.#nextEndNumber, task, run, outcome, checkpoint: '' },
    ];
    this.#nextEndNumber += 1;
  }
}
