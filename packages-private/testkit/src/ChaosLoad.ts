import type { ErrorKind, Problem } from '@toucanline/schema';
import { Caller } from './Caller.js';
import type { ChaosJudge } from './ChaosJudge.js';
import { ChaosLosses } from './ChaosLosses.js';
import type { ChaosRandom } from './ChaosRandom.js';
import type { ChaosRecord } from './ChaosRecord.js';
import type { ChaosSite } from './ChaosSite.js';
import { sleep } from './sleep.js';

const callersPerTeam = 6;
const deadlineSeconds = 25;
const waitSeconds = 5;
const settleMs = 40_000;

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
  readonly #judge: ChaosJudge;
  readonly #random: ChaosRandom;
  readonly #losses: ChaosLosses;
  readonly #records: ChaosRecord[] = [];
  readonly #open = new Map<string, ChaosRecord>();
  readonly #ids = new Map<string, ChaosRecord>();
  readonly #callers: Promise<void>[] = [];
  #active = true;
  #settleAt = Infinity;

  /**
   * @param site - where the load runs
   * @param judge - checks each answer
   * @param random - choices
   */
  public constructor(site: ChaosSite, judge: ChaosJudge, random: ChaosRandom) {
    this.#site = site;
    this.#judge = judge;
    this.#random = random;
    this.#losses = new ChaosLosses(site);
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
      [...this.#ids].map(([id, record]) => this.#createCaller(record, 'dc1').cancel(id)),
    );
  }

  /** Stops new submissions and waits until every request is final, or the time is over. */
  public async settle(): Promise<void> {
    this.#active = false;
    this.#settleAt = performance.now() + settleMs;
    await Promise.race([Promise.all(this.#callers), sleep(settleMs + 10_000)]);
    for (const { text, queue } of this.#open.values())
      this.#judge.report(`${text} in ${queue} has no final answer`);
    this.#judge.judge(this.#records);
  }

  async #runCaller(team: string): Promise<void> {
    while (this.#active) {
      await this.#runRequest(team).catch((error: unknown) => {
        this.#judge.report(`the caller failed: ${String(error)}`);
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
    const record: ChaosRecord = {
      text: `${team}-${this.#records.length}`,
      queue,
      tasks: queue === 'gangs' ? 3 : 1,
      idempotent: queue !== 'rosters',
      keyed: this.#random.drawChance(50),
      detached: this.#random.drawChance(30),
      sentAtMs: performance.now(),
    };
    this.#records.push(record);
    this.#open.set(record.text, record);
    const urgent = this.#random.drawChance(15);
    const body = queue === 'services' ? 'serve' : '';
    const command = `sleep ${this.#random.drawInteger(1500)}; echo ${record.text}; ${body}`;
    const specification = {
      size: { processors: 1 + this.#random.drawInteger(8), memoryMb: 512, accelerators: 0 },
      tasks: record.tasks,
      command: command.replace(/; $/, ''),
      deadlineSeconds,
      urgent,
      detached: record.detached ? ('yes' as const) : ('no' as const),
    };
    const first = this.#random.pick(this.#site.dataCentres);
    const repeats = record.keyed && this.#random.drawChance(40);
    const submit = (dataCentre: string): Promise<void> =>
      this.#submit(record, specification, dataCentre);
    const other = this.#site.dataCentres.find((each) => each !== first) ?? first;
    await Promise.all([
      submit(first),
      repeats ? sleep(this.#random.drawInteger(1500)).then(() => submit(other)) : undefined,
    ]);
    this.#open.delete(record.text);
  }

  async #submit(
    record: ChaosRecord,
    specification: Parameters<Caller['submit']>[1],
    dataCentre: string,
  ): Promise<void> {
    const caller = this.#createCaller(record, dataCentre);
    this.#losses.noteEntry(record, dataCentre);
    const answer = await caller
      .submit(record.queue, specification, {
        wait: waitSeconds,
        ...(record.keyed ? { idempotencyKey: `key-${record.text}` } : {}),
      })
      .catch(() => undefined);
    if (answer === undefined) {
      this.#judge.noteUnanswered(record);
      // Without an id and a key, nobody can ask for the request again.
      if (!record.keyed || performance.now() > this.#settleAt) return;
      await sleep(200);
      const other = this.#site.dataCentres.find((each) => each !== dataCentre) ?? dataCentre;
      await this.#submit(record, specification, other);
      return;
    }
    if (this.#judge.noteAnswer(record, answer)) return;
    this.#losses.noteAnswer(answer.view);
    await this.#follow(record, answer.view.id);
  }

  async #follow(record: ChaosRecord, id: string): Promise<void> {
    this.#ids.set(id, record);
    const cancels = record.queue === 'services' || this.#random.drawChance(10);
    if (cancels) await sleep(this.#random.drawInteger(1500));
    while (performance.now() < this.#settleAt) {
      const caller = this.#createCaller(record, this.#random.pick(this.#site.dataCentres));
      const answer = await (cancels ? caller.cancel(id) : caller.wait(id, 2)).catch(
        () => undefined,
      );
      if (answer !== undefined && lostKinds.includes(answer.problem.title)) {
        if (this.#losses.isAnnounced(record, id, answer.problem)) {
          this.#judge.count('lost with its entry and its owner after durable: false');
          break;
        }
        const traits = `${record.detached ? 'detached' : 'attached'}, keyed ${String(record.keyed)}`;
        this.#judge.report(
          `${id} of ${record.text} (${record.queue}, ${traits}) is lost: ${JSON.stringify(answer.problem)}`,
        );
        break;
      }
      if (answer !== undefined && this.#isTransient(answer.problem))
        this.#judge.count(`follow problem ${answer.status} ${answer.problem.title}`);
      else if (answer !== undefined && this.#judge.noteAnswer(record, answer)) {
        this.#ids.delete(id);
        return;
      } else if (answer !== undefined) this.#losses.noteAnswer(answer.view);
      await sleep(200);
    }
    this.#ids.delete(id);
    if (performance.now() >= this.#settleAt)
      this.#judge.report(`${id} of ${record.text} in ${record.queue} is not final in time`);
  }

  /** A final `refused` or `unknown` is a problem as well; of these, only the detail tells a failed call. */
  #isTransient({ title, detail }: Partial<Problem>): boolean {
    if (title === undefined) return false;
    if (title === 'outcomeUnknown') return detail?.includes('did not answer') ?? false;
    return transientKinds.includes(title);
  }

  #createCaller({ text }: ChaosRecord, dataCentre: string): Caller {
    const team = text.split('-')[0] ?? '';
    return new Caller(() => this.#site.readEntryUrl(dataCentre), `key-${team}`);
  }
}
