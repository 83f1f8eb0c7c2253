import type { JobRecord } from '@toucanline/schema';
import type { ModelWorker } from './ModelWorker.js';

/** Time after the acknowledgement from which nothing may start in an evacuated data centre, in milliseconds. */
const evacuationBoundMs = 5000;
/** Time for which a reachable worker may list an end that no leader has asked for, in milliseconds. */
const unreadBoundMs = 3000;

/** Observes every start and completion on the workers and checks the invariants of the engine. */
export class InvariantChecker {
  /** Workers whose process is running. */
  public readonly liveWorkers = new Set<ModelWorker>();
  /** Simulated time in milliseconds from which on each worker could be reached, by worker id; set by the simulation. */
  public readonly reachableSince = new Map<string, number>();
  /** Number of evacuations whose bound has passed. */
  public boundsPassed = 0;
  /** Time in milliseconds at which the operator got the acknowledgement, by evacuated data centre. */
  readonly #evacuatedAt = new Map<string, number>();
  /** Cap of each account in milliprocessors; accounts that are not listed have none. */
  readonly #caps: ReadonlyMap<string, number>;
  readonly #jobs = new Map<string, JobRecord>();
  /** Tasks whose completion was acknowledged to the worker. */
  readonly #acknowledged = new Set<string>();
  /** Tasks with a run that ended as done. */
  readonly #done = new Set<string>();

  public constructor(caps: ReadonlyMap<string, number> = new Map()) {
    this.#caps = caps;
  }

  public addJob(record: JobRecord): void {
    this.#jobs.set(record.id, record);
  }

  public recordAcknowledged(task: string): void {
    this.#acknowledged.add(task);
  }

  public recordDone(task: string): void {
    this.#done.add(task);
  }

  public evacuate(dataCentre: string, acknowledgedAt: number): void {
    this.#evacuatedAt.set(dataCentre, acknowledgedAt);
  }

  public withdraw(dataCentre: string, now: number): void {
    const acknowledgedAt = this.#evacuatedAt.get(dataCentre) ?? Infinity;
    if (now > acknowledgedAt + evacuationBoundMs) this.boundsPassed += 1;
    this.#evacuatedAt.delete(dataCentre);
  }

  public checkStart(worker: ModelWorker, task: string, now: number): void {
    const { id, dataCentre } = worker.entry;
    const evacuatedMs = now - (this.#evacuatedAt.get(dataCentre) ?? Infinity);
    if (evacuatedMs > evacuationBoundMs)
      throw new Error(`${task} was started on ${id}, evacuated for ${evacuatedMs} ms`);
    if (this.#acknowledged.has(task))
      throw new Error(`${task} was started again after its completion was acknowledged`);
    for (const other of this.liveWorkers) {
      const since = this.reachableSince.get(other.entry.id) ?? 0;
      if (now - Math.max(since, other.findListedSince(task)) > unreadBoundMs)
        throw new Error(`${task} was started again while ${other.entry.id} lists that it is done`);
      if (other.running.includes(task)) throw new Error(`${task} runs on two workers at once`);
    }
    const used = [...worker.running, task].reduce((sum, name) => sum + this.#size(name), 0);
    if (used > worker.entry.capacity.milliProcessors) {
      throw new Error(`${worker.entry.id} exceeds its capacity: ${used} milliprocessors in use`);
    }
    this.#checkCap(task);
    this.#checkDependencies(task);
  }

  /** Checks the cap of the account over all workers, whichever leader has started the tasks. */
  #checkCap(task: string): void {
    const account = this.#findAccount(task);
    const cap = this.#caps.get(account);
    if (cap === undefined) return;
    const running = [...this.liveWorkers].flatMap((worker) => worker.running);
    const used = [...running, task]
      .filter((name) => this.#findAccount(name) === account)
      .reduce((sum, name) => sum + this.#size(name), 0);
    if (used > cap) throw new Error(`${task} brings ${account} to ${used}, its cap is ${cap}`);
  }

  #findAccount(task: string): string {
    return this.#jobs.get(task.split('.')[0] ?? '')?.account ?? '';
  }

  #checkDependencies(task: string): void {
    const [id = '', , step = '0'] = task.split('.');
    const steps = this.#jobs.get(id)?.specification.steps ?? [];
    for (const dependency of steps[Number(step)]?.dependsOn ?? []) {
      const count = steps[dependency]?.taskCount ?? 0;
      for (let index = 0; index < count; index += 1) {
        // A later run may still be active although an earlier one, on a partitioned worker, has ended as done.
        const name = `${id}.0.${dependency}.${index}`;
        if (!this.#done.has(name))
          throw new Error(`${task} was started before its dependency ${name} was done`);
      }
    }
  }

  #size(task: string): number {
    const [id = '', , step = '0'] = task.split('.');
    return this.#jobs.get(id)?.specification.steps[Number(step)]?.size.milliProcessors ?? 0;
  }
}
