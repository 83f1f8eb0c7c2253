import type { Caller } from './Caller.js';
import type { ChaosSubmission } from './ChaosSubmission.js';
import type { ChaosSite } from './ChaosSite.js';

type CallerAnswer = Awaited<ReturnType<Caller['send']>>;

const finalStates = ['succeeded', 'failed', 'cancelled', 'refused', 'unknown'];

/** Checks the answers to callers against each other and against the executions that the workers recorded. */
export class ChaosChecker {
  readonly #site: ChaosSite;
  readonly #outcomes = new Map<string, number>();
  readonly #violations: string[] = [];
  readonly #finalStates = new Map<string, string>();
  readonly #notRunIds = new Set<string>();
  readonly #notRunTexts = new Map<string, string>();
  readonly #possiblyRunTexts = new Set<string>();

  /** @param site - the site that gets the load */
  public constructor(site: ChaosSite) {
    this.#site = site;
  }

  /** Number of answers by outcome. */
  public get outcomes(): ReadonlyMap<string, number> {
    return this.#outcomes;
  }

  /** Violated invariants, one sentence each, also those of the execution monitor. */
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
   * Reports a violated invariant.
   *
   * @param detail - description of the violation
   */
  public reportViolation(detail: string): void {
    this.#violations.push(detail);
  }

  /**
   * Records that a submission got no answer, so that its execution is unknown.
   *
   * @param submission - the submission
   */
  public recordUnanswered(submission: ChaosSubmission): void {
    this.#possiblyRunTexts.add(submission.text);
    this.countOutcome('noAnswer');
  }

  /**
   * Checks an answer.
   *
   * @param submission - the submission that was answered
   * @param answer - the answer
   * @returns whether it is final
   */
  public checkAnswer(
    submission: ChaosSubmission,
    { status, view, problem }: CallerAnswer,
  ): boolean {
    const { text } = submission;
    // Both types cover one body, so absent fields read as undefined.
    const body: Partial<typeof view & typeof problem> = { ...view, ...problem };
    const id = body.id ?? body.requestId;
    const isFinal = body.state === undefined || finalStates.includes(body.state);
    this.countOutcome(body.state ?? `problem ${status} ${body.title ?? ''} ran ${body.ran ?? ''}`);
    if (body.ran === 'no' && isFinal) {
      if (id === undefined) this.#notRunTexts.set(text, JSON.stringify(body));
      else this.#notRunIds.add(id);
    } else this.#possiblyRunTexts.add(text);
    if (body.state === undefined || id === undefined) return isFinal;
    if (body.queue !== submission.queue)
      this.reportViolation(`${id} of ${text} is in queue ${body.queue ?? ''}`);
    if (!isFinal) return false;
    const previous = this.#finalStates.get(id) ?? body.state;
    if (previous !== body.state)
      this.reportViolation(`${id} of ${text} was ${previous}, then ${body.state}`);
    this.#finalStates.set(id, body.state);
    if (body.state === 'succeeded') this.#checkOutput(submission, id, body.output ?? []);
    if (body.state === 'refused' && body.ran !== 'no')
      this.reportViolation(`${id} of ${text} is refused with ran ${body.ran ?? ''}`);
    return true;
  }

  /**
   * Checks the executions on the workers against the answers, once all requests are final.
   *
   * @param submissions - all submissions of the run
   */
  public checkExecutions(submissions: readonly ChaosSubmission[]): void {
    for (const id of this.#notRunIds) this.#site.site.monitor.checkNotRun(id);
    for (const { text, isIdempotent } of submissions) {
      const starts = this.#site.countStarts(text);
      if (!isIdempotent && starts > 1)
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

  #checkOutput(submission: ChaosSubmission, id: string, output: readonly string[]): void {
    const isOwn =
      output.length === submission.taskCount && output.every((each) => each === submission.text);
    if (!isOwn)
      this.reportViolation(`${id} of ${submission.text} has the output ${JSON.stringify(output)}`);
    if (this.#site.site.monitor.countStarts(id) === 0)
      this.reportViolation(`${id} of ${submission.text} succeeded but no worker started it`);
  }
}
