import { Agent, request } from 'undici';
import type { ChaosRandom } from './ChaosRandom.js';
import type { PlatformRunMonitor } from './PlatformRunMonitor.js';
import type { PlatformSite } from './PlatformSite.js';
import { sleep } from './sleep.js';

/** Number of callers at the same time. */
const callerCount = 6;
/** Time after which a caller gives up a call, in milliseconds. */
const callTimeoutMs = 5000;

/** A submitted job as its caller knows it. */
interface SubmittedJob {
  readonly id: string;
  readonly text: string;
  state: 'unanswered' | 'accepted' | 'refused' | 'completed';
  /** Whether a submission is under way. */
  isOpen: boolean;
  /** Answers to the submissions. */
  readonly submissions: string[];
  lastAnswer: string;
}

/** Callers that submit jobs and ask for their states over connections that they keep until these break. */
export class PlatformSoakCallers {
  readonly #site: PlatformSite;
  readonly #monitor: PlatformRunMonitor;
  readonly #random: ChaosRandom;
  readonly #idPrefix: string;
  readonly #agent = new Agent({ connections: 2, pipelining: 1, keepAliveTimeout: 60_000 });
  readonly #jobs: SubmittedJob[] = [];
  readonly #outcomes = new Map<string, number>();
  readonly #violations: string[] = [];
  #isStopped = false;
  #loops: Promise<unknown> = Promise.resolve();

  /**
   * @param site - the site to call
   * @param monitor - monitor of the runs
   * @param random - random choices
   * @param seed - part of the ids of the jobs
   */
  public constructor(
    site: PlatformSite,
    monitor: PlatformRunMonitor,
    random: ChaosRandom,
    seed: number,
  ) {
    this.#site = site;
    this.#monitor = monitor;
    this.#random = random;
    this.#idPrefix = seed.toString(16).padStart(8, '0');
  }

  /** Number of answers by call and status. */
  public get outcomes(): ReadonlyMap<string, number> {
    return this.#outcomes;
  }

  /** Violated invariants, one sentence each; complete after the jobs were awaited. */
  public get violations(): readonly string[] {
    return this.#violations;
  }

  /** Starts the callers. */
  public start(): void {
    this.#loops = Promise.all(Array.from({ length: callerCount }, () => this.#callInTurn()));
  }

  /** Stops the callers and waits for their open calls. */
  public async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#loops;
  }

  /**
   * Repeats the submissions without an answer, waits until all accepted jobs are completed and checks the answers.
   *
   * @param timeoutMs - longest wait in milliseconds
   */
  public async awaitJobs(timeoutMs: number): Promise<void> {
    const endsAt = performance.now() + timeoutMs;
    for (;;) {
      const open = this.#jobs.filter(({ state }) => state === 'unanswered' || state === 'accepted');
      if (open.length === 0 || performance.now() > endsAt) break;
      await Promise.all(
        open
          .slice(0, 20)
          .map((job) => (job.state === 'accepted' ? this.#readState(job) : this.#submit(job))),
      );
      await sleep(100);
    }
    await this.#agent.destroy();
    for (const { id, state, submissions, lastAnswer } of this.#jobs) {
      if (state === 'refused' && this.#monitor.hasStarted(id))
        this.#violations.push(`${id} was refused and ran: ${submissions.join('; ')}`);
      if (state === 'accepted' || state === 'unanswered')
        this.#violations.push(`${id} is ${state} after ${timeoutMs} ms: ${lastAnswer}`);
    }
  }

  async #callInTurn(): Promise<void> {
    while (!this.#isStopped) {
      await this.#callOnce();
      await sleep(50 + this.#random.drawInteger(350));
    }
  }

  async #callOnce(): Promise<void> {
    const unanswered = this.#jobs.find(({ state, isOpen }) => state === 'unanswered' && !isOpen);
    if (unanswered !== undefined && this.#random.drawChance(50)) {
      await this.#submit(unanswered);
      return;
    }
    if (this.#jobs.length > 0 && this.#random.drawChance(40)) {
      const job = this.#random.pick(this.#jobs);
      if (job.state === 'accepted' || job.state === 'completed') await this.#readState(job);
      return;
    }
    const job = this.#createJob();
    this.#jobs.push(job);
    await this.#submit(job);
  }

  #createJob(): SubmittedJob {
    // Some tasks outlive several faults; a second step would only prolong the end of the run.
    const isLong = this.#random.drawChance(10);
    const durationMs = isLong
      ? 2000 + this.#random.drawInteger(4000)
      : 50 + this.#random.drawInteger(900);
    const createStep = (): object => ({
      Count: 1 + this.#random.drawInteger(3),
      Cpu: 500,
      MemMb: 100,
      EstimateMs: durationMs,
    });
    const steps = [createStep()];
    if (!isLong && this.#random.drawChance(50)) steps.push({ ...createStep(), After: [0] });
    return {
      id: this.#idPrefix + (this.#jobs.length + 1).toString(16).padStart(8, '0'),
      text: JSON.stringify({ Spec: `ms=${durationMs}`, Steps: steps }),
      state: 'unanswered',
      isOpen: false,
      submissions: [],
      lastAnswer: 'none',
    };
  }

  async #submit(job: SubmittedJob): Promise<void> {
    // A submission is repeated only after the one before got no answer: answers to several at a time may differ.
    job.isOpen = true;
    const sentAt = new Date().toISOString();
    const { status } = await this.#call('POST', job);
    job.isOpen = false;
    job.submissions.push(`${sentAt} ${job.lastAnswer}`);
    if (status >= 200 && status < 300) job.state = 'accepted';
    else if (status === 429 || status === 503) job.state = 'refused';
    else if (status !== 0 && status !== 504)
      this.#violations.push(`the submission of ${job.id} was answered with ${job.lastAnswer}`);
  }

  async #readState(job: SubmittedJob): Promise<void> {
    const { status, body } = await this.#call('GET', job);
    if (status === 410) this.#violations.push(`${job.id} was accepted and is unknown`);
    if (status !== 200) return;
    if (body.State === 'completed') job.state = 'completed';
    else if (body.State === 'failed' || job.state === 'completed')
      this.#violations.push(`${job.id}, which was ${job.state}, is ${String(body.State)}`);
  }

  /** Sends a call to any host; the status is 0 without an answer. */
  async #call(
    method: 'GET' | 'POST',
    job: SubmittedJob,
  ): Promise<{ readonly status: number; readonly body: Readonly<Record<string, unknown>> }> {
    const host = this.#random.pick(this.#site.hosts);
    let answer = { status: 0, text: '' };
    try {
      const response = await request(`http://${host.callerAddress}/renders/${job.id}`, {
        dispatcher: this.#agent,
        method,
        headers: { host: 'site.example', authorization: 'Token key-1' },
        signal: AbortSignal.timeout(callTimeoutMs),
        ...(method === 'POST' && { body: job.text }),
      });
      answer = { status: response.statusCode, text: await response.body.text() };
    } catch {
      // The connection broke, or the host did not answer in time: whether the call took effect is unknown.
      answer = { status: 0, text: '' };
    }
    job.lastAnswer = `${method} ${host.name} ${answer.status} ${answer.text}`;
    const outcome = `${method} ${answer.status}`;
    this.#outcomes.set(outcome, (this.#outcomes.get(outcome) ?? 0) + 1);
    const body = answer.text === '' ? {} : (JSON.parse(answer.text) as Record<string, unknown>);
    return { status: answer.status, body };
  }
}
