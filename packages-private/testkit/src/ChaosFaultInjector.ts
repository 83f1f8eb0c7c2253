import { Caller } from './Caller.js';
import type { ChaosLoad } from './ChaosLoad.js';
import type { ChaosRandom } from './ChaosRandom.js';
import type { ChaosSite } from './ChaosSite.js';
import { sleep } from './sleep.js';

const pauseMs = 5000;
const hostListLagMs = 3000;
/** Interval after which new links are silenced as well; a silent link is replaced within 3 s. */
const silenceIntervalMs = 4000;

/** Injects random temporary faults, at most two at a time. */
export class ChaosFaultInjector {
  readonly #site: ChaosSite;
  readonly #load: ChaosLoad;
  readonly #random: ChaosRandom;
  readonly #print: (line: string) => void;
  readonly #activeSubjects = new Set<string>();
  #changeCount = 0;

  /**
   * @param site - the site that gets the faults
   * @param load - the load whose requests are cancelled in waves
   * @param random - random choices
   * @param print - prints a line for each fault
   */
  public constructor(
    site: ChaosSite,
    load: ChaosLoad,
    random: ChaosRandom,
    print: (line: string) => void,
  ) {
    this.#site = site;
    this.#load = load;
    this.#random = random;
    this.#print = print;
  }

  /**
   * Injects faults for a given time and waits until they have ended.
   *
   * @param durationMs - time during which faults are started, in milliseconds
   */
  public async run(durationMs: number): Promise<void> {
    const endsAt = performance.now() + durationMs;
    const injectInTurn = async (): Promise<void> => {
      while (performance.now() < endsAt) {
        await this.#injectFault();
        await sleep(500 + this.#random.drawInteger(2500));
      }
    };
    await Promise.all([injectInTurn(), injectInTurn()]);
  }

  /** Injects one fault into a subject that has none. */
  async #injectFault(): Promise<void> {
    const faults: readonly (readonly [string, () => Promise<void>])[] = [
      ['scheduler', () => this.#replaceDaemon('scheduler')],
      ['scheduler', () => this.#pauseScheduler()],
      ['entry', () => this.#replaceDaemon('entry')],
      ['links', () => this.#silenceLinks()],
      ['store', () => this.#injectStoreFault()],
      ['store', () => this.#injectStoreFault()],
      ['hosts', () => this.#delayHostList()],
      ['worker', () => this.#rebootWorker()],
      ['worker', () => this.#failWorkerTasks()],
      ['cancel', () => this.#cancelRequests()],
      ['configuration', () => this.#changeConfiguration()],
    ];
    const [subject, run] = this.#random.pick(
      faults.filter(([name]) => !this.#activeSubjects.has(name)),
    );
    this.#activeSubjects.add(subject);
    await run();
    this.#activeSubjects.delete(subject);
  }

  async #replaceDaemon(role: 'entry' | 'scheduler'): Promise<void> {
    const daemon = this.#random.pick(this.#site.listDaemons(role));
    const ms = this.#random.drawInteger(4000);
    this.#print(`SIGKILL of ${daemon.settings.process}, replaced after ${ms} ms`);
    await this.#site.replaceDaemon(daemon, role, () => sleep(ms));
  }

  async #pauseScheduler(): Promise<void> {
    const daemon = this.#random.pick(this.#site.listDaemons('scheduler'));
    this.#print(`SIGSTOP of ${daemon.settings.process} for ${pauseMs} ms`);
    daemon.signal('SIGSTOP');
    await sleep(pauseMs);
    daemon.signal('SIGCONT');
    this.#print(`SIGCONT of ${daemon.settings.process}`);
  }

  /** Silences the links to a scheduler once or twice: those that replace silent links may become silent too. */
  async #silenceLinks(): Promise<void> {
    const { process } = this.#random.pick(this.#site.listDaemons('scheduler')).settings;
    const from = this.#random.pick(['all', ...this.#site.dataCentres]);
    const times = 1 + this.#random.drawInteger(2);
    for (let time = 0; time < times; time += 1) {
      this.#print(`silent links from ${from} to ${process}`);
      this.#site.silenceLinks(process, from === 'all' ? undefined : from);
      await sleep(silenceIntervalMs);
    }
  }

  async #injectStoreFault(): Promise<void> {
    const fault = this.#random.pick(['down', 'hang', 'none', 'loseAnswers'] as const);
    const delayMs = fault === 'none' ? 800 : 0;
    const ms = 1000 + this.#random.drawInteger(5000);
    this.#print(`store: ${fault}, delay ${delayMs} ms, for ${ms} ms`);
    this.#site.site.store.setFault(fault, delayMs);
    await sleep(ms);
    this.#site.site.store.setFault('none');
    this.#print('store: healthy');
  }

  async #delayHostList(): Promise<void> {
    this.#print(`host list lags by ${hostListLagMs} ms`);
    this.#site.site.hostList.setLag(hostListLagMs);
    await sleep(2 * hostListLagMs);
    this.#site.site.hostList.setLag(0);
  }

  async #rebootWorker(): Promise<void> {
    const worker = this.#random.pick(this.#site.site.workers);
    this.#print(`reboot of ${worker.options.id}`);
    worker.reboot();
    await sleep(500);
  }

  async #failWorkerTasks(): Promise<void> {
    const worker = this.#random.pick(this.#site.site.workers);
    const ms = 1000 + this.#random.drawInteger(4000);
    this.#print(`${worker.options.id} fails all tasks for ${ms} ms`);
    worker.setFaulty(true);
    await sleep(ms);
    worker.setFaulty(false);
  }

  async #cancelRequests(): Promise<void> {
    this.#print('cancellation of all known requests');
    await Promise.race([this.#load.cancelAll(), sleep(pauseMs)]);
  }

  /** Lets two operators write different limits on top of the same revision. */
  async #changeConfiguration(): Promise<void> {
    const limits = [this.#random.pick([16, 24]), this.#random.pick([32, 40])];
    const operators = this.#site.dataCentres.map(
      (dataCentre) =>
        new Caller(() => this.#site.readEntryUrl(dataCentre), this.#site.site.operatorKey),
    );
    const known = await operators[0]?.send('GET', '/v1/configuration').catch(() => undefined);
    const { revision } = (known?.view ?? {}) as { readonly revision?: number };
    this.#changeCount += 1;
    const writes = operators.map((operator, index) =>
      operator
        .send(
          'PUT',
          '/v1/configuration',
          JSON.stringify({
            ifRevision: revision ?? 0,
            text: this.#site.createDocument(limits[index] ?? 40),
            author: `operator ${index}`,
            token: `chaos-${this.#changeCount}-${index}`,
          }),
        )
        .then(({ status }) => status)
        .catch(() => 'no answer'),
    );
    const results = Promise.all(writes).then((statuses) => statuses.join(' and '));
    const result = await Promise.race([results, sleep(pauseMs).then(() => 'pending')]);
    this.#print(`limits ${limits.join(' and ')} at revision ${revision ?? 0}: ${result}`);
  }
}
