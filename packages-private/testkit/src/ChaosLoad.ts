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

/** Problems of a call about a request that say nothing about the request itself. */
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

/** Problems that say that no process has a record of a request whose id was told before. */
const lostKinds: readonly ErrorKind[] = ['unknownRequest', 'recordMissing'];

/** Mixed load of several callers of two teams at the entries of both data centres. */
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
   * @param site - where the load runs
   * @param judge - checks each answer
   * @param random - choices
   */
  public constructor(site: ChaosSite, judge: ChaosChecker, random: ChaosRandom) {
    this.#site = site;
    this.#checker = judge;
    this.#random = random;
    this.#lossChecker = new ChaosLossChecker(site);
  }

  /** Starts the callers. */
  public start(): void {
    for (const team of ['planning', 'broadcast'])
      for (let index = 0; index < callersPerTeam; index += 1)
        this.#callers.push(this.#runCaller(team));
  }

  /** Cancels all requests that are known and not final. */
  public async cancelAll(): Promise<void> {
    await Promise.allSettled(
      [...this.#submissionsById].map(([id, record]) =>
        this.#createCaller(record, 'dc1').cancel(id),
      ),
    );
  }

  /** Stops new submissions and waits until every request is final, or the time is over. */
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
    const record: ChaosSubmission = {
      text: `${team}-${this.#submissions.length}`,
      queue,
      taskCount: queue === 'gangs' ? 3 : 1,
      isIdempotent: queue !== 'rosters',
      hasIdempotencyKey: this.#random.drawChance(50),
      isDetached: this.#random.drawChance(30),
      sentAtMs: performance.now(),
    };
    this.#submissions.push(record);
    this.#openSubmissions.set(record.text, record);
    const urgent = this.#random.drawChance(15);
    const body = queue === 'services' ? 'serve' : '';
    const command = `sleep ${this.#random.drawInteger(1500)}; echo ${record.text}; ${body}`;
    const specification = {
      size: { processors: 1 + this.#random.drawInteger(8), memoryMb: 512, accelerators: 0 },
      tasks: record.taskCount,
      command: command.replace(/; $/, ''),
      deadlineSeconds,
      urgent,
      detached: record.isDetached ? ('yes' as const) : ('no' as const),
    };
    const first = this.#random.pick(this.#site.dataCentres);
    const repeats = record.hasIdempotencyKey && this.#random.drawChance(40);
    const submit = (dataCentre: string): Promise<void> =>
      this.#submit(record, specification, dataCentre);
    const other = this.#site.dataCentres.find((each) => each !== first) ?? first;
    await Promise.all([
      submit(first),
      repeats ? sleep(this.#random.drawInteger(1500)).then(() => submit(other)) : undefined,
    ]);
    this.#openSubmissions.delete(record.text);
  }

  async #submit(
    record: ChaosSubmission,
    specification: Parameters<Caller['submit']>[1],
    dataCentre: string,
  ): Promise<void> {
    const caller = this.#createCaller(record, dataCentre);
    this.#lossChecker.recordEntry(record, dataCentre);
    const answer = await caller
      .submit(record.queue, specification, {
        wait: waitSeconds,
        ...(record.hasIdempotencyKey ? { idempotencyKey: `key-${record.text}` } : {}),
      })
      .catch(() => undefined);
    if (answer === undefined) {
      this.#checker.recordUnanswered(record);
      // Without an id and a key, nobody can ask for the request again.
      if (!record.hasIdempotencyKey || performance.now() > this.#settleDeadline) return;
      await sleep(200);
      const other = this.#site.dataCentres.find((each) => each !== dataCentre) ?? dataCentre;
      await this.#submit(record, specification, other);
      return;
    }
    if (this.#checker.checkAnswer(record, answer)) return;
    this.#lossChecker.recordAnswer(answer.view);
    await this.#waitForCompletion(record, answer.view.id);
  }

  async #waitForCompletion(record: ChaosSubmission, id: string): Promise<void> {
    this.#submissionsById.set(id, record);
    const cancels = record.queue === 'services' || this.#random.drawChance(10);
    if (cancels) await sleep(this.#random.drawInteger(1500));
    while (performance.now() < this.#settleDeadline) {
      const caller = this.#createCaller(record, this.#random.pick(this.#site.dataCentres));
      const answer = await (cancels ? caller.cancel(id) : caller.wait(id, 2)).catch(
        () => undefined,
      );
      if (answer !== undefined && lostKinds.includes(answer.problem.title)) {
        if (this.#lossChecker.isAnnounced(record, id, answer.problem)) {
          this.#checker.countOutcome('lost with its entry and its owner after durable: false');
          break;
        }
        const traits = `${record.isDetached ? 'detached' : 'attached'}, keyed ${String(record.hasIdempotencyKey)}`;
        this.#checker.reportViolation(
          `${id} of ${record.text} (${record.queue}, ${traits}) is lost: ${JSON.stringify(answer.problem)}`,
        );
        break;
      }
      if (answer !== undefined && this.#isTransient(answer.problem))
        this.#checker.countOutcome(`follow problem ${answer.status} ${answer.problem.title}`);
      else if (answer !== undefined && this.#checker.checkAnswer(record, answer)) {
        this.#submissionsById.delete(id);
        return;
      } else if (answer !== undefined) this.#lossChecker.recordAnswer(answer.view);
      await sleep(200);
    }
    this.#submissionsById.delete(id);
    if (performance.now() >= this.#settleDeadline)
      this.#checker.reportViolation(
        `${id} of ${record.text} in ${record.queue} is not final in time`,
      );
  }

  /** A final `refused` or `unknown` is a problem as well; of these, only the detail tells a failed call. */
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
