import type { Caller } from './Caller.js';
import type { ChaosRecord } from './ChaosRecord.js';
import type { ChaosSite } from './ChaosSite.js';

type Answer = Awaited<ReturnType<Caller['send']>>;

const finalStates = ['succeeded', 'failed', 'cancelled', 'refused', 'unknown'];

/** Checks the answers of callers against each other and against what the workers saw. */
export class ChaosJudge {
  readonly #site: ChaosSite;
  readonly #outcomes = new Map<string, number>();
  readonly #violations: string[] = [];
  readonly #finals = new Map<string, string>();
  readonly #notRun = new Set<string>();
  readonly #notRunTexts = new Map<string, string>();
  readonly #otherTexts = new Set<string>();

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
    return [...this.#violations, ...this.#site.site.ledger.violations];
  }

  /**
   * Counts an outcome.
   *
   * @param outcome - its name
   */
  public count(outcome: string): void {
    this.#outcomes.set(outcome, (this.#outcomes.get(outcome) ?? 0) + 1);
  }

  /**
   * Reports a broken promise.
   *
   * @param detail - what was seen
   */
  public report(detail: string): void {
    this.#violations.push(detail);
  }

  /**
   * Notes that a submission got no answer, so that nothing is known about its execution.
   *
   * @param record - the submission
   */
  public noteUnanswered(record: ChaosRecord): void {
    this.#otherTexts.add(record.text);
    this.count('noAnswer');
  }

  /**
   * Checks an answer.
   *
   * @param record - the submission that it belongs to
   * @param answer - the answer
   * @returns whether it is final
   */
  public noteAnswer(record: ChaosRecord, { status, view, problem }: Answer): boolean {
    const { text } = record;
    // The stand-in's type covers either body, so absent fields are read as undefined.
    const body: Partial<typeof view & typeof problem> = { ...view, ...problem };
    const id = body.id ?? body.requestId;
    const isFinal = body.state === undefined || finalStates.includes(body.state);
    this.count(body.state ?? `problem ${status} ${body.title ?? ''} ran ${body.ran ?? ''}`);
    if (body.ran === 'no' && isFinal) {
      if (id === undefined) this.#notRunTexts.set(text, JSON.stringify(body));
      else this.#notRun.add(id);
    } else this.#otherTexts.add(text);
    if (body.state === undefined || id === undefined) return isFinal;
    if (body.queue !== record.queue)
      this.report(`${id} of ${text} is in queue ${body.queue ?? ''}`);
    if (!isFinal) return false;
    const former = this.#finals.get(id) ?? body.state;
    if (former !== body.state) this.report(`${id} of ${text} was ${former}, then ${body.state}`);
    this.#finals.set(id, body.state);
    if (body.state === 'succeeded') this.#checkOutput(record, id, body.output ?? []);
    if (body.state === 'refused' && body.ran !== 'no')
      this.report(`${id} of ${text} is refused with ran ${body.ran ?? ''}`);
    return true;
  }

  /**
   * Checks, after all answers, what the workers saw.
   *
   * @param records - all submissions
   */
  public judge(records: readonly ChaosRecord[]): void {
    for (const id of this.#notRun) this.#site.site.ledger.checkNotRun(id);
    for (const { text, idempotent } of records) {
      const starts = this.#site.countStarts(text);
      if (!idempotent && starts > 1)
        this.report(`${text} is not idempotent and ran ${starts} times`);
      const refusal = this.#notRunTexts.get(text);
      if (refusal === undefined || starts === 0) continue;
      if (!this.#otherTexts.has(text)) this.report(`${text} ran but was answered ${refusal}`);
      else this.count('repeat refused as not run, an earlier submission ran');
    }
    for (const { assignment, worker } of this.#site.site.ledger.running) {
      const state = this.#finals.get(assignment.request.id);
      if (state === undefined) continue;
      this.report(`${assignment.taskId} runs on ${worker} although its request is ${state}`);
    }
  }

  #checkOutput(record: ChaosRecord, id: string, output: readonly string[]): void {
    const isOwn = output.length === record.tasks && output.every((each) => each === record.text);
    if (!isOwn) this.report(`${id} of ${record.text} has the output ${JSON.stringify(output)}`);
    if (this.#site.site.ledger.countStarts(id) === 0)
      this.report(`${id} of ${record.text} succeeded but no worker started it`);
  }
}
