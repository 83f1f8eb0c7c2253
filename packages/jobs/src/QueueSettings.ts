import type { QueueConfiguration } from '@toucanline/schema';
import type { Job } from './Job.js';
import type { QueueTerms } from './QueueTerms.js';

/** Settings of the queues: those of the configuration in effect, or those under which a job was accepted. */
export class QueueSettings {
  /** Queues of the configuration in effect; undefined until one is known. */
  #current: ReadonlyMap<string, QueueTerms> | undefined;
  /** Last settings of removed queues, for jobs whose record has no terms. */
  readonly #removed = new Map<string, QueueTerms>();

  /** Settings of all queues that the configuration in effect names. */
  public get configured(): Iterable<QueueTerms> {
    return this.#current?.values() ?? [];
  }

  /**
   * Applies the settings of a configuration.
   *
   * @param queues - queues of the latest configuration
   */
  public configure(queues: readonly QueueConfiguration[]): void {
    for (const [name, queue] of this.#current ?? []) this.#removed.set(name, queue);
    this.#current = new Map(queues.map((queue) => [queue.name, queue]));
    for (const { name } of queues) this.#removed.delete(name);
  }

  /**
   * Checks whether the configuration in effect names the queue of a job.
   *
   * @param job - job to look up
   * @returns false if the terms of the job apply instead
   */
  public isConfigured(job: Job): boolean {
    return this.#current?.has(job.record.queue) === true;
  }

  /**
   * Finds the settings that apply to a job: those of the configuration in effect if it names the queue, otherwise the
   * terms under which the job was accepted.
   *
   * @param job - job to look up
   * @returns settings of the queue; undefined if no configuration is known yet, which may lower caps, or if neither the
   * job nor any configuration has settings
   */
  public findQueue(job: Job): QueueTerms | undefined {
    if (this.#current === undefined) return undefined;
    const name = job.record.queue;
    return this.#current.get(name) ?? job.queueTerms ?? this.#removed.get(name);
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
