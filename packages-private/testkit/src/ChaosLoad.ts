import type { ErrorKind, Problem } from '@toucanline/schema';
import { Caller } from './Caller.js';
import type { ChaosChecker } from './ChaosChecker.js';
import { ChaosLossChecker } from './ChaosLossChecker.js';
import type { ChaosRandom } from './ChaosRandom.js';
import type { ChaosSubmission } from './ChaosSubmission.js';
import type { ChaosSite } from './ChaosSite.js';
import { sleep } from './sleep.js';

const callersPerTeam = 6;
const deadlineSeconds = 25;
const waitSeconds = 5;
const settleTimeoutMs = 40_000;

/** Kinds of problems of a call that say nothing about the outcome of the request. */
const transientKinds: readonly ErrorKind[] = [
  'notOwner',
  'noOwner',
  'linkLost',
  'timeout',
  'notReady',
  'storeUnavailable',
  'internal',
  'unauthenticated',
];

/** Kinds of problems that say that no process has a record of a request whose id was returned before. */
const lostKinds: readonly ErrorKind[] = ['unknownRequest', 'recordMissing'];

/** Mixed load from several callers of two teams, sent to the entries of both data centres. */
export class ChaosLoad {
  readonly #site: ChaosSite;
  readonly #checker: ChaosChecker;
  readonly #random: ChaosRandom;
  readonly #lossChecker: ChaosLossChecker;
  readonly #submissions: ChaosSubmission[] = [];
  readonly #openSubmissions = new Map<string, ChaosSubmission>();
  readonly #submissionsById = new Map<string, ChaosSubmission>();
  readonly #callers: Promise<void>[] = [];
  #isActive = true;
  #settleDeadline = Infinity;

  /**
   * @param site - the site that gets the load
   * @param checker - checks each answer
   * @param random - random choices
   */
  public constructor(site: ChaosSite, checker: ChaosChecker, random: ChaosRandom) {
    this.#site = site;
    this.#checker = checker;
    this.#random = random;
    this.#lossChecker = new ChaosLossChecker(site);
  }

  /** Starts the callers. */
  public start(): void {
    for (const team of ['planning', 'broadcast'])
      for (let index = 0; index < callersPerTeam; index += 1)
        this.#callers.push(this.#runCaller(team));
  }

  /** Cancels all requests that have an id and are not final. */
  public async cancelAll(): Promise<void> {
    await Promise.allSettled(
      [...this.#submissionsById].map(([id, submission]) =>
        this.#createCaller(submission, 'dc1').cancel(id),
      ),
    );
  }

  /** Stops new submissions, waits until every request is final or the timeout has passed, and checks all executions. */
  public async settle(): Promise<void> {
    this.#isActive = false;
    this.#settleDeadline = performance.now() + settleTimeoutMs;
    await Promise.race([Promise.all(this.#callers), sleep(settleTimeoutMs + 10_000)]);
    for (const { text, queue } of this.#openSubmissions.values())
      this.#checker.reportViolation(`${text} in ${queue} has no final answer`);
    this.#checker.checkExecutions(this.#submissions);
  }

  async #runCaller(team: string): Promise<void> {
    while (this.#isActive) {
      await this.#runRequest(team).catch((error: unknown) => {
        this.#checker.reportViolation(`the caller failed: ${String(error)}`);
      });
      await sleep(this.#random.drawInteger(100));
    }
  }

  async #runRequest(team: string): Promise<void> {
    const queue = this.#random.pick([
      'renders',
      'renders',
      'rosters',
      'rosters',
      'gangs',
      'services',
    ]);
    const submission: ChaosSubmission = {
      text: `${team}-${this.#submissions.length}`,
      queue,
      taskCount: queue === 'gangs' ? 3 : 1,
      isIdempotent: queue !== 'rosters',
      hasIdempotencyKey: this.#random.drawChance(50),
      isDetached: this.#random.drawChance(30),
      sentAtMs: performance.now(),
    };
    this.#submissions.push(submission);
    this.#openSubmissions.set(submission.text, submission);
    const urgent = this.#random.drawChance(15);
    const body = queue === 'services' ? 'serve' : '';
    const command = `sleep ${this.#random.drawInteger(1500)}; echo ${submission.text}; ${body}`;
    const specification = {
      size: { processors: 1 + this.#random.drawInteger(8), memoryMb: 512, accelerators: 0 },
      tasks: submission.taskCount,
      command: command.replace(/; $/, ''),
      deadlineSeconds,
      urgent,
      detached: submission.isDetached ? ('yes' as const) : ('no' as const),
    };
    const firstDataCentre = this.#random.pick(this.#site.dataCentres);
    const isRepeated = submission.hasIdempotencyKey && this.#random.drawChance(40);
    const submit = (dataCentre: string): Promise<void> =>
      this.#submit(submission, specification, dataCentre);
    const otherDataCentre =
      this.#site.dataCentres.find((each) => each !== firstDataCentre) ?? firstDataCentre;
    await Promise.all([
      submit(firstDataCentre),
      isRepeated
        ? sleep(this.#random.drawInteger(1500)).then(() => submit(otherDataCentre))
        : undefined,
    ]);
    this.#openSubmissions.delete(submission.text);
  }

  async #submit(
    submission: ChaosSubmission,
    specification: Parameters<Caller['submit']>[1],
    dataCentre: string,
  ): Promise<void> {
    const caller = this.#createCaller(submission, dataCentre);
    this.#lossChecker.recordEntry(submission, dataCentre);
    const answer = await caller
      .submit(submission.queue, specification, {
        wait: waitSeconds,
        ...(submission.hasIdempotencyKey ? { idempotencyKey: `key-${submission.text}` } : {}),
      })
      .catch(() => undefined);
    if (answer === undefined) {
      this.#checker.recordUnanswered(submission);
      // Without an id or an idempotency key, the outcome of the request cannot be queried.
      if (!submission.hasIdempotencyKey || performance.now() > this.#settleDeadline) return;
      await sleep(200);
      const otherDataCentre =
        this.#site.dataCentres.find((each) => each !== dataCentre) ?? dataCentre;
      await this.#submit(submission, specification, otherDataCentre);
      return;
    }
    if (this.#checker.checkAnswer(submission, answer)) return;
    this.#lossChecker.recordAnswer(answer.view);
    await this.#waitForCompletion(submission, answer.view.id);
  }

  async #waitForCompletion(submission: ChaosSubmission, id: string): Promise<void> {
    this.#submissionsById.set(id, submission);
    const isCancelled = submission.queue === 'services' || this.#random.drawChance(10);
    if (isCancelled) await sleep(this.#random.drawInteger(1500));
    while (performance.now() < this.#settleDeadline) {
      const caller = this.#createCaller(submission, this.#random.pick(this.#site.dataCentres));
      const answer = await (isCancelled ? caller.cancel(id) : caller.wait(id, 2)).catch(
        () => undefined,
      );
      if (answer !== undefined && lostKinds.includes(answer.problem.title)) {
        if (this.#lossChecker.isAnnounced(submission, id, answer.problem)) {
          this.#checker.countOutcome('lost with its entry and its owner after durable: false');
          break;
        }
        const traits = `${submission.isDetached ? 'detached' : 'attached'}, keyed ${String(submission.hasIdempotencyKey)}`;
        this.#checker.reportViolation(
          `${id} of ${submission.text} (${submission.queue}, ${traits}) is lost: ${JSON.stringify(answer.problem)}`,
        );
        break;
      }
      if (answer !== undefined && this.#isTransient(answer.problem))
        this.#checker.countOutcome(`follow problem ${answer.status} ${answer.problem.title}`);
      else if (answer !== undefined && this.#checker.checkAnswer(submission, answer)) {
        this.#submissionsById.delete(id);
        return;
      } else if (answer !== undefined) this.#lossChecker.recordAnswer(answer.view);
      await sleep(200);
    }
    this.#submissionsById.delete(id);
    if (performance.now() >= this.#settleDeadline)
      this.#checker.reportViolation(
        `${id} of ${submission.text} in ${submission.queue} was not final in time`,
      );
  }

  /**
   * Checks whether a problem is one of the call rather than the final outcome of the request. A final `refused`
   * or `unknown` is a problem as well; of kind `outcomeUnknown`, only the detail shows that the call failed.
   */
  #isTransient({ title, detail }: Partial<Problem>): boolean {
    if (title === undefined) return false;
    if (title === 'outcomeUnknown') return detail?.includes('did not answer') ?? false;
    return transientKinds.includes(title);
  }

  #createCaller({ text }: ChaosSubmission, dataCentre: string): Caller {
    const team = text.split('-')[0] ?? '';
    return new Caller(() => this.#site.readEntryUrl(dataCentre), `key-${team}`);
  }
}
