import type { Caller } from './Caller.js';
import type { Site } from './Site.js';
import { sleep } from './sleep.js';

const size = { processors: 2, memoryMb: 512, accelerators: 0 };
const deadlineMs = 60_000;
/** Pause after an answer that asks to try again. */
const retryDelayMs = 200;

/** What the callers of a load saw. */
interface LoadSummary {
  readonly answered: number;
  /** Answers with `ran: no`, after which the caller sends new work. */
  readonly refused: number;
  /** Answers of any other kind, and broken promises, one sentence each. */
  readonly failures: readonly string[];
}

/**
 * Callers that submit short work one after the other. Each request prints a text of its own, so that a lost,
 * doubled or foreign response shows, and so does work that ran although the answer said that it did not.
 */
export class SteadyLoad {
  readonly #startCounts = new Map<string, number>();
  readonly #runs: Promise<void>[] = [];
  readonly #failures: string[] = [];
  readonly #answerCounts = new Map<string, number>();
  #nextNumber = 1;
  #refusedCount = 0;
  #isActive = true;

  /** @param site - the site, whose ledger tells about starts */
  public constructor(site: Site) {
    const { monitor: ledger } = site;
    const noteStart = ledger.recordStart.bind(ledger);
    ledger.recordStart = (worker, assignment): void => {
      const { command } = assignment.request;
      this.#startCounts.set(command, (this.#startCounts.get(command) ?? 0) + 1);
      noteStart(worker, assignment);
    };
  }

  /**
   * Adds callers.
   *
   * @param name - name of the group in `countAnswers`
   * @param caller - sends the requests
   * @param queue - queue of the requests
   * @param count - requests at the same time
   * @param runMs - run time of a request, in milliseconds
   */
  public addCallers(name: string, caller: Caller, queue: string, count: number, runMs = 150): void {
    for (let index = 0; index < count; index += 1) {
      this.#runs.push(this.#run(name, caller, queue, runMs));
    }
  }

  /**
   * Counts complete answers.
   *
   * @param name - name of the group
   * @returns number of answers with the output of their own request
   */
  public countAnswers(name: string): number {
    return this.#answerCounts.get(name) ?? 0;
  }

  /**
   * Ends the load.
   *
   * @returns what the callers saw, once each request is answered
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
    const sent = await caller.submit(queue, specification, { wait: 30 });
    const answer = sent.status === 202 ? await this.#waitForCompletion(caller, sent.view.id) : sent;
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
