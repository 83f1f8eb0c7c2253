import { Caller, Site, sleep } from '@toucanline/testkit';

const room = { processors: 64, memoryMb: 131_072, accelerators: 8 };
const size = { processors: 1, memoryMb: 1024, accelerators: 0 };

const document = `schema = 1
[shards.s1]
dataCentre = "dc1"
[teams.a]
share = 1
[queues.services]
kind = "service"
idempotent = true
[queues.jobs]
kind = "batch"
idempotent = true
`;

/** A site on loopback with one scheduler and one entry, loaded to a given size. */
export class CapacitySite {
  readonly #site: Site;
  readonly #caller: Caller;

  /** @param workers - number of workers */
  public constructor(workers: number) {
    this.#site = new Site({
      document,
      dataCentres: ['dc1'],
      entriesPerDataCentre: 1,
      schedulersPerDataCentre: 1,
      workersPerDataCentre: workers,
      room,
      teams: ['a'],
    });
    this.#caller = new Caller(() => this.#site.entries[0]?.url ?? '', 'key-a');
  }

  /** Process id of the scheduler. */
  public get schedulerPid(): number {
    return this.#site.schedulers[0]?.pid ?? 0;
  }

  /** Process id of the entry. */
  public get entryPid(): number {
    return this.#site.entries[0]?.pid ?? 0;
  }

  /** Calls to the store so far. */
  public get storeCalls(): number {
    return this.#site.store.calls;
  }

  /** Starts the site. */
  public async start(): Promise<void> {
    await this.#site.start();
  }

  /** Ends the site. */
  public async stop(): Promise<void> {
    await this.#site.stop();
  }

  /**
   * Starts long-running tasks.
   *
   * @param tasks - number of tasks
   */
  public async fill(tasks: number): Promise<void> {
    const tasksPerRequest = 50;
    for (let started = 0; started < tasks; started += tasksPerRequest) {
      const count = Math.min(tasksPerRequest, tasks - started);
      await this.#caller.submit('services', { size, tasks: count, command: 'serve' });
    }
  }

  /**
   * Submits short batch requests at a constant rate.
   *
   * @param perSecond - requests a second
   * @param durationMs - duration in milliseconds
   * @returns number of answered requests
   */
  public async submitSteadily(perSecond: number, durationMs: number): Promise<number> {
    const endsAt = performance.now() + durationMs;
    const answers: Promise<number>[] = [];
    while (performance.now() < endsAt) {
      const answer = this.#caller.submit('jobs', { size, command: 'sleep 100; echo done' });
      answers.push(answer.then(({ status }) => status));
      await sleep(1000 / perSecond);
    }
    return (await Promise.all(answers)).filter((status) => status === 200).length;
  }

  /**
   * Holds callers that wait for long requests.
   *
   * @param count - number of waiting callers
   * @param waitSeconds - how long each waits
   * @returns once all were answered
   */
  public async holdCallers(count: number, waitSeconds: number): Promise<void> {
    const body = { size, command: 'sleep 60000' };
    const wait = { wait: waitSeconds };
    await Promise.all(Array.from({ length: count }, () => this.#caller.submit('jobs', body, wait)));
  }
}
