import type { JobRecord } from '@toucanline/schema';
import type { ModelWorker } from './ModelWorker.js';

/** Sees every start and end at the workers and checks the promises of the engine. */
export class InvariantChecker {
  /** Workers whose process still lives. */
  public readonly liveWorkers = new Set<ModelWorker>();
  readonly #jobs = new Map<string, JobRecord>();
  readonly #acknowledged = new Set<string>();
  /** Tasks of which a run has ended as done. */
  readonly #done = new Set<string>();

  public addJob(record: JobRecord): void {
    this.#jobs.set(record.id, record);
  }

  public recordAcknowledged(task: string): void {
    this.#acknowledged.add(task);
  }

  public recordDone(task: string): void {
    this.#done.add(task);
  }

  public checkStart(worker: ModelWorker, task: string): void {
    if (this.#acknowledged.has(task)) throw new Error(`${task} starts again after its end`);
    for (const other of this.liveWorkers) {
      if (other.running.includes(task)) throw new Error(`${task} runs in two places`);
    }
    const used = [...worker.running, task].reduce((sum, name) => sum + this.#size(name), 0);
    if (used > worker.entry.capacity.milliProcessors) {
      throw new Error(`${worker.entry.id} has ${used} thousandths of processors to run`);
    }
    this.#checkDependencies(task);
  }

  #checkDependencies(task: string): void {
    const [id = '', , step = '0'] = task.split('.');
    const steps = this.#jobs.get(id)?.specification.steps ?? [];
    for (const before of steps[Number(step)]?.dependsOn ?? []) {
      const count = steps[before]?.taskCount ?? 0;
      for (let index = 0; index < count; index += 1) {
        // A later run may still be going on where an earlier one, on a worker that was cut off, had ended as done.
        const name = `${id}.0.${before}.${index}`;
        if (!this.#done.has(name)) throw new Error(`${task} starts before the end of ${name}`);
      }
    }
  }

  #size(task: string): number {
    const [id = '', , step = '0'] = task.split('.');
    return this.#jobs.get(id)?.specification.steps[Number(step)]?.size.milliProcessors ?? 0;
  }
}
