import type { QueueConfiguration } from '@toucanline/schema';
import type { Job } from './Job.js';

/** Configured settings of the queues. A queue that was removed from the configuration keeps its last settings. */
export class QueueSettings {
  readonly #queues = new Map<string, QueueConfiguration>();

  /** Settings of all queues, removed ones included. */
  public get all(): Iterable<QueueConfiguration> {
    return this.#queues.values();
  }

  /**
   * Applies the settings of a configuration.
   *
   * @param queues - queues of the latest configuration
   */
  public configure(queues: readonly QueueConfiguration[]): void {
    for (const queue of queues) this.#queues.set(queue.name, queue);
  }

  /**
   * Finds the settings of a job's queue.
   *
   * @param job - job to look up
   * @returns settings of the queue; undefined if no configuration has named it
   */
  public findQueue(job: Job): QueueConfiguration | undefined {
    return this.#queues.get(job.record.queue);
  }

  /**
   * Computes the critical path after a step.
   *
   * @param job - job of the step
   * @param number - number of the step, from 0
   * @returns declared duration of the longest chain of steps that depend on the step, in milliseconds
   */
  public computeDownstreamMs(job: Job, number: number): number {
    const { steps } = job.record.specification;
    const downstreamMs = steps.map(() => 0);
    // Steps depend only on earlier ones, so the chains of later steps are complete when they are read.
    for (let later = steps.length - 1; later > number; later -= 1) {
      const { estimateMs = 0, dependsOn = [] } = steps[later] ?? {};
      const chainMs = estimateMs + (downstreamMs[later] ?? 0);
      for (const dependency of dependsOn)
        downstreamMs[dependency] = Math.max(downstreamMs[dependency] ?? 0, chainMs);
    }
    return downstreamMs[number] ?? 0;
  }

  /**
   * Computes the time within which a job must complete to meet its objective.
   *
   * @param job - job to check
   * @returns milliseconds from its acceptance, or from the due time of an occurrence; infinite for an unknown queue
   */
  public computeObjectiveMs(job: Job): number {
    const queue = this.findQueue(job);
    if (queue === undefined) return Infinity;
    const chainsMs: number[] = [];
    for (const { estimateMs, dependsOn } of job.record.specification.steps) {
      chainsMs.push(estimateMs + Math.max(0, ...dependsOn.map((number) => chainsMs[number] ?? 0)));
    }
    return queue.stretch * Math.max(...chainsMs) + queue.objectiveMs;
  }
}
