import type { Caller } from './Caller.js';
import type { ChaosSubmission } from './ChaosSubmission.js';
import type { ChaosSite } from './ChaosSite.js';

type CallerAnswer = Awaited<ReturnType<Caller['send']>>;

const finalStates = ['succeeded', 'failed', 'cancelled', 'refused', 'unknown'];

/** Checks the answers of callers against each other and against what the workers saw. */
export class ChaosChecker {
  readonly #site: ChaosSite;
  readonly #outcomes = new Map<string, number>();
  readonly #violations: string[] = [];
  readonly #finalStates = new Map<string, string>();
  readonly #notRunIds = new Set<string>();
  readonly #notRunTexts = new Map<string, string>();
  readonly #possiblyRunTexts = new Set<string>();

  /** @param site - where the load runs */
  public constructor(site: ChaosSite) {
    this.#site = site;
  }

  /** Number of answers by outcome. */
  public get outcomes(): ReadonlyMap<string, number> {
    return this.#outcomes;
  }

  /** Broken promises. */
  public get violations(): readonly string[] {
    return [...this.#violations, ...this.#site.site.monitor.violations];
  }

  /**
   * Counts an outcome.
   *
   * @param outcome - its name
   */
  public countOutcome(outcome: string): void {
    this.#outcomes.set(outcome, (this.#outcomes.get(outcome) ?? 0) + 1);
  }

  /**
   * Reports a broken promise.
   *
   * @param detail - what was seen
   */
  public reportViolation(detail: string): void {
    this.#violations.push(detail);
  }

  /**
   * Notes that a submission got no answer, so that nothing is known about its execution.
   *
   * @param record - the submission
   */
  public recordUnanswered(record: ChaosSubmission): void {
    this.#possiblyRunTexts.add(record.text);
    this.countOutcome('noAnswer');
  }

  /**
   * Checks an answer.
   *
   * @param record - the submission that it belongs to
   * @param answer - the answer
   * @returns whether it is final
   */
  public checkAnswer(record: ChaosSubmission, { status, view, problem }: CallerAnswer): boolean {
    const { text } = record;
    // The stand-in's type covers either body, so absent fields are read as undefined.
    const body: Partial<typeof view & typeof problem> = { ...view, ...problem };
    const id = body.id ?? body.requestId;
    const isFinal = body.state === undefined || finalStates.includes(body.state);
    this.countOutcome(body.state ?? `problem ${status} ${body.title ?? ''} ran ${body.ran ?? ''}`);
    if (body.ran === 'no' && isFinal) {
      if (id === undefined) this.#notRunTexts.set(text, JSON.stringify(body));
      else this.#notRunIds.add(id);
    } else this.#possiblyRunTexts.add(text);
    if (body.state === undefined || id === undefined) return isFinal;
    if (body.queue !== record.queue)
      this.reportViolation(`${id} of ${text} is in queue ${body.queue ?? ''}`);
    if (!isFinal) return false;
    const former = this.#finalStates.get(id) ?? body.state;
    if (former !== body.state)
      this.reportViolation(`${id} of ${text} was ${former}, then ${body.state}`);
    this.#finalStates.set(id, body.state);
    if (body.state === 'succeeded') this.#checkOutput(record, id, body.output ?? []);
    if (body.state === 'refused' && body.ran !== 'no')
      this.reportViolation(`${id} of ${text} is refused with ran ${body.ran ?? ''}`);
    return true;
  }

  /**
   * Checks, after all answers, what the workers saw.
   *
   * @param records - all submissions
   */
  public checkExecutions(records: readonly ChaosSubmission[]): void {
    for (const id of this.#notRunIds) this.#site.site.monitor.checkNotRun(id);
    for (const { text, isIdempotent: idempotent } of records) {
      const starts = this.#site.countStarts(text);
      if (!idempotent && starts > 1)
        this.reportViolation(`${text} is not idempotent and ran ${starts} times`);
      const refusal = this.#notRunTexts.get(text);
      if (refusal === undefined || starts === 0) continue;
      if (!this.#possiblyRunTexts.has(text))
        this.reportViolation(`${text} ran but was answered ${refusal}`);
      else this.countOutcome('repeat refused as not run, an earlier submission ran');
    }
    for (const { assignment, worker } of this.#site.site.monitor.runningTasks) {
      const state = this.#finalStates.get(assignment.request.id);
      if (state === undefined) continue;
      this.reportViolation(
        `${assignment.taskId} runs on ${worker} although its request is ${state}`,
      );
    }
  }

  #checkOutput(record: ChaosSubmission, id: string, output: readonly string[]): void {
    const isOwn =
      output.length === record.taskCount && output.every((each) => each === record.text);
    if (!isOwn)
      this.reportViolation(`${id} of ${record.text} has the output ${JSON.stringify(output)}`);
    if (this.#site.site.monitor.countStarts(id) === 0)
      this.reportViolation(`${id} of ${record.text} succeeded but no worker started it`);
  }
}
