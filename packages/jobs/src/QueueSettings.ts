import type { QueueConfiguration } from '@toucanline/schema';
import type { Job } from './Job.js';

/** What the configuration says of jobs' queues. A queue that was removed keeps its last terms. */
export class QueueSettings {
  readonly #queues = new Map<string, QueueConfiguration>();

  /** @param queues - queues of the newest configuration */
  public configure(queues: readonly QueueConfiguration[]): void {
    for (const queue of queues) this.#queues.set(queue.name, queue);
  }

  /**
   * Finds the queue of a job.
   *
   * @param job - the job
   * @returns its terms, if a configuration ever had the queue
   */
  public findQueue(job: Job): QueueConfiguration | undefined {
    return this.#queues.get(job.record.queue);
  }

  /**
   * Computes how long the steps after one take at least.
   *
   * @param job - the job
   * @param number - number of the step
   * @returns declared duration of the longest chain of steps that depend on it, in milliseconds
   */
  public computeDownstreamMs(job: Job, number: number): number {
    const { steps } = job.record.specification;
    const tails = steps.map(() => 0);
    // Steps depend on earlier ones only, so later tails are complete when they are read.
    for (let later = steps.length - 1; later > number; later -= 1) {
      const { estimateMs = 0, dependsOn = [] } = steps[later] ?? {};
      const chainMs = estimateMs + (tails[later] ?? 0);
      for (const before of dependsOn) tails[before] = Math.max(tails[before] ?? 0, chainMs);
    }
    return tails[number] ?? 0;
  }

  /**
   * Computes how long a job may take and still meet its objective.
   *
   * @param job - the job
   * @returns milliseconds from its acceptance, or from the due time of an occurrence
   */
  public computeObjectiveMs(job: Job): number {
    const queue = this.findQueue(job);
    if (queue === undefined) return Infinity;
    const chains: number[] = [];
    for (const { estimateMs, dependsOn } of job.record.specification.steps) {
      chains.push(estimateMs + Math.max(0, ...dependsOn.map((number) => chains[number] ?? 0)));
    }
    return queue.stretch * Math.max(...chains) + queue.objectiveMs;
  }
}
