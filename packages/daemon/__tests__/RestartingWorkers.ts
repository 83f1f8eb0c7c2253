import { WorkerClient } from '@toucanline/jobs';
import type { RunEnd, RunStart, WorkerEntry, WorkerReport } from '@toucanline/schema';

/** A call without a response: the worker may execute it later, also as its next incarnation. */
interface UnansweredCall {
  /** Executes the call on the current incarnation of its worker. */
  readonly execute: () => void;
  /** Reports to the caller that there was no response. */
  readonly timeOut: () => void;
}

/** One life of a worker. */
class Incarnation {
  public readonly life: number;
  public readonly runs = new Map<string, number>();
  public ended: readonly RunEnd[] = [];
  #endCount = 0;
  #token = 0;
  readonly #startedAt = performance.now();

  public constructor(life: number) {
    this.life = life;
  }

  public get clockMs(): number {
    // The clock of each incarnation starts at another time.
    return performance.now() - this.#startedAt + this.life * 100_000;
  }

  /** Returns whether the worker accepts a fencing token, and keeps the highest one. */
  public accept(token: number): boolean {
    if (token < this.#token) return false;
    this.#token = token;
    return true;
  }

  public endRun(task: string): void {
    this.#endCount += 1;
    const run = this.runs.get(task) ?? 0;
    this.runs.delete(task);
    const end: RunEnd = { number: this.#endCount, task, run, outcome: 'done', checkpoint: '' };
    this.ended = [...this.ended, end];
  }
}

/** Workers that restart under their ids, and calls that the test leaves unanswered. Any incarnation executes a call. */
export class RestartingWorkers extends WorkerClient {
  /** Starts that were executed. */
  public readonly starts: { readonly task: string; readonly life: number }[] = [];
  /** Tasks with a run that ended as done and whose end was acknowledged. */
  public readonly acknowledged = new Set<string>();
  /** Ids of the workers that cannot be reached. */
  public readonly unreachable = new Set<string>();
  readonly #incarnations = new Map<string, Incarnation>();
  #onUnanswered:
    { kind: 'start' | 'acknowledgement'; resolve: (call: UnansweredCall) => void } | undefined;

  public restart(id: string): void {
    this.#incarnations.set(id, new Incarnation(this.#find(id).life + 1));
  }

  public endRun(id: string, task: string): void {
    this.#find(id).endRun(task);
  }

  /** Leaves the next call of a kind unanswered. */
  public async loseNext(kind: 'start' | 'acknowledgement'): Promise<UnansweredCall> {
    return new Promise((resolve) => {
      this.#onUnanswered = { kind, resolve };
    });
  }

  public override start(worker: WorkerEntry, start: RunStart): ReturnType<WorkerClient['start']> {
    const execute = (): Awaited<ReturnType<WorkerClient['start']>> => {
      const incarnation = this.#find(worker.id);
      const { clockMs, life, runs } = incarnation;
      if (!incarnation.accept(start.fencingToken)) return { outcome: 'fenced', clockMs };
      runs.set(start.task, start.run);
      this.starts.push({ task: start.task, life });
      return { outcome: 'started', clockMs };
    };
    return this.#answer(worker.id, 'start', execute, { outcome: 'unknown', clockMs: undefined });
  }

  public override stop(
    { id }: WorkerEntry,
    task: string,
    _run: number,
    fencingToken: number,
  ): ReturnType<WorkerClient['stop']> {
    if (this.unreachable.has(id)) return Promise.resolve('unknown');
    const incarnation = this.#find(id);
    if (!incarnation.accept(fencingToken)) return Promise.resolve('fenced');
    incarnation.runs.delete(task);
    return Promise.resolve('confirmed');
  }

  public override async requestReport(
    { id }: WorkerEntry,
    fencingToken: number,
    acknowledgedThrough: number,
  ): ReturnType<WorkerClient['requestReport']> {
    // The time of a call between two machines; without it the session would poll without a pause.
    await new Promise((resolve) => setTimeout(resolve, 2));
    const execute = (): WorkerReport | 'fenced' => {
      const incarnation = this.#find(id);
      if (!incarnation.accept(fencingToken)) return 'fenced';
      const isForgotten = ({ number }: RunEnd): boolean => number <= acknowledgedThrough;
      for (const { task } of incarnation.ended.filter(isForgotten)) this.acknowledged.add(task);
      incarnation.ended = incarnation.ended.filter((end) => !isForgotten(end));
      const { life, clockMs, ended, runs } = incarnation;
      const running = [...runs].map(([task, run]) => ({
        ...{ task, run, checkpoint: '', percent: 0, load: 0 },
      }));
      return { life, clockMs, running, ended };
    };
    const kind = acknowledgedThrough > 0 ? 'acknowledgement' : 'report';
    return this.#answer<WorkerReport | 'fenced' | 'unknown'>(id, kind, execute, 'unknown');
  }

  public override releaseAddress(): void {
    // Holds no connections.
  }

  async #answer<Answer>(
    id: string,
    kind: 'start' | 'acknowledgement' | 'report',
    execute: () => Answer,
    noAnswer: Answer,
  ): Promise<Answer> {
    if (this.unreachable.has(id)) return noAnswer;
    const lost = this.#onUnanswered;
    if (lost?.kind !== kind) return execute();
    this.#onUnanswered = undefined;
    return new Promise((resolve) => {
      lost.resolve({
        execute,
        timeOut: () => {
          resolve(noAnswer);
        },
      });
    });
  }

  #find(id: string): Incarnation {
    const incarnation = this.#incarnations.get(id) ?? new Incarnation(1);
    this.#incarnations.set(id, incarnation);
    return incarnation;
  }
}
