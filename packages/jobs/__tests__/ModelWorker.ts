import type { RunEnd, WorkerEntry, WorkerReport } from '@toucanline/schema';
import type { StartOutcome } from '../src/index.js';

interface ModelRun {
  readonly task: string;
  readonly run: number;
  readonly endsAt: number;
  readonly outcome: RunEnd['outcome'];
}

/** Worker of the platform, as far as the engine can tell: fencing, leases, run numbers and listed ends. */
export class ModelWorker {
  public readonly entry: WorkerEntry;
  readonly #runs = new Map<string, ModelRun>();
  readonly #highest = new Map<string, number>();
  #ended: readonly RunEnd[] = [];
  #nextEnd = 1;
  #term = 0;
  #leaseUntil = 0;

  public constructor(entry: WorkerEntry) {
    this.entry = entry;
  }

  public get running(): readonly string[] {
    return [...this.#runs.keys()];
  }

  public get fence(): number {
    return this.#term;
  }

  public start(
    task: string,
    run: number,
    term: number,
    leaseUntil: number,
    now: number,
    endsAt: number,
    outcome: RunEnd['outcome'],
  ): StartOutcome {
    this.advance(now);
    if (term < this.#term) return 'fenced';
    this.#term = term;
    if (leaseUntil <= now) return 'late';
    this.#extend(leaseUntil, now);
    if (this.#runs.get(task)?.run === run) return 'started';
    if (run <= (this.#highest.get(task) ?? 0)) return 'old';
    this.#highest.set(task, run);
    this.#runs.set(task, { task, run, endsAt, outcome });
    return 'started';
  }

  public stop(task: string, run: number, term: number, now: number): 'confirmed' | 'fenced' {
    this.advance(now);
    if (term < this.#term) return 'fenced';
    this.#term = term;
    this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0));
    const known = this.#runs.get(task);
    if (known !== undefined && known.run <= run) this.#end(known, 'stopped');
    return 'confirmed';
  }

  public report(
    term: number,
    through: number,
    leaseUntil: number | undefined,
    now: number,
  ): WorkerReport | 'fenced' {
    this.advance(now);
    if (term < this.#term) return 'fenced';
    this.#term = term;
    if (leaseUntil !== undefined) this.#extend(leaseUntil, now);
    this.#ended = this.#ended.filter(({ number }) => number > through);
    return {
      life: this.entry.life,
      clockMs: now,
      running: [...this.#runs.values()].map(({ task, run }) => ({
        task,
        run,
        checkpoint: '',
        percent: 0,
        load: 0,
      })),
      ended: [...this.#ended],
    };
  }

  /** Ends what is over by now. */
  public advance(now: number): void {
    for (const run of [...this.#runs.values()]) {
      if (run.endsAt <= Math.min(now, this.#leaseUntil)) this.#end(run, run.outcome);
      else if (this.#leaseUntil <= now) this.#end(run, 'lapsed');
    }
  }

  #extend(leaseUntil: number, now: number): void {
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(leaseUntil, now + 6000));
  }

  #end({ task, run }: ModelRun, outcome: RunEnd['outcome']): void {
    this.#runs.delete(task);
    const end = { number: this.#nextEnd, task, run, outcome, checkpoint: '' };
    this.#ended = [...this.#ended, end];
    this.#nextEnd += 1;
  }
}
