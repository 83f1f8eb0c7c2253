import type { Caller } from './Caller.js';
import type { Site } from './Site.js';
import { sleep } from './sleep.js';

const size = { processors: 2, memoryMb: 512, accelerators: 0 };
const deadlineMs = 60_000;
/** Delay after an answer that allows a retry. */
const retryDelayMs = 200;

/** Answers that the callers of a load received. */
interface LoadSummary {
  /** Number of answers with the output of their own request. */
  readonly answered: number;
  /** Number of answers with `ran: no`, after which the caller submits a new request. */
  readonly refused: number;
  /** Answers of any other kind and failed calls, one sentence each. */
  readonly failures: readonly string[];
}

/**
 * Callers that each submit one short request after another. Each request prints a unique text, so that lost,
 * duplicate and mixed-up responses are detected, and so is a request that ran although its answer denies it.
 */
export class SteadyLoad {
  readonly #startCounts = new Map<string, number>();
  readonly #runs: Promise<void>[] = [];
  readonly #failures: string[] = [];
  readonly #answerCounts = new Map<string, number>();
  #nextNumber = 1;
  #refusedCount = 0;
  #isActive = true;

  /** @param site - the site, whose monitor records starts */
  public constructor(site: Site) {
    const { monitor } = site;
    const recordStart = monitor.recordStart.bind(monitor);
    monitor.recordStart = (worker, assignment): void => {
      const { command } = assignment.request;
      this.#startCounts.set(command, (this.#startCounts.get(command) ?? 0) + 1);
      recordStart(worker, assignment);
    };
  }

  /**
   * Starts a group of callers.
   *
   * @param name - name of the group, for `countAnswers`
   * @param caller - sends the requests
   * @param queue - queue of the requests
   * @param count - number of callers
   * @param runMs - run time of a request, in milliseconds
   */
  public addCallers(name: string, caller: Caller, queue: string, count: number, runMs = 150): void {
    for (let index = 0; index < count; index += 1) {
      this.#runs.push(this.#run(name, caller, queue, runMs));
    }
  }

  /**
   * Counts the complete answers to a group.
   *
   * @param name - name of the group
   * @returns number of answers with the output of their own request
   */
  public countAnswers(name: string): number {
    return this.#answerCounts.get(name) ?? 0;
  }

  /**
   * Stops new submissions.
   *
   * @returns answers that the callers received, once each request is answered
   */
  public async stop(): Promise<LoadSummary> {
    this.#isActive = false;
    await Promise.all(this.#runs);
    const answered = [...this.#answerCounts.values()].reduce((sum, count) => sum + count, 0);
    return { answered, refused: this.#refusedCount, failures: this.#failures };
  }

  async #run(name: string, caller: Caller, queue: string, runMs: number): Promise<void> {
    while (this.#isActive) {
      const text = `${name}-${this.#nextNumber}`;
      this.#nextNumber += 1;
      const command = `sleep ${runMs}; echo ${text}`;
      try {
        await this.#submit(name, caller, queue, text, command);
      } catch (error) {
        this.#failures.push(`${text}: ${String(error)}`);
      }
    }
  }

  async #submit(
    name: string,
    caller: Caller,
    queue: string,
    text: string,
    command: string,
  ): Promise<void> {
    const specification = { size, command, deadlineSeconds: deadlineMs / 1000 };
    const first = await caller.submit(queue, specification, { wait: 30 });
    const answer =
      first.status === 202 ? await this.#waitForCompletion(caller, first.view.id) : first;
    const { view, problem, status } = answer;
    if (view.output?.[0] === text) {
      this.#answerCounts.set(name, this.countAnswers(name) + 1);
      return;
    }
    const starts = this.#startCounts.get(command) ?? 0;
    if (problem.ran === 'no' && starts === 0) {
      this.#refusedCount += 1;
      await sleep(retryDelayMs);
      return;
    }
    const { title, detail, ran } = problem;
    const output = view.output?.join() ?? 'no output';
    this.#failures.push(
      `${text}: ${status} ${title} ran ${ran} ${output} ${detail}, ${starts} starts`,
    );
  }

  async #waitForCompletion(caller: Caller, id: string): ReturnType<Caller['wait']> {
    const endsAt = performance.now() + deadlineMs;
    for (;;) {
      const answer = await caller.wait(id, 10);
      const { status, problem } = answer;
      const isOpen = status === 202 || (problem.retry && problem.ran === 'unknown');
      if (!isOpen || performance.now() > endsAt) return answer;
      if (status !== 202) await sleep(retryDelayMs);
    }
  }
}
