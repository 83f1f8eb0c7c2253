import type { ChaosRandom } from './ChaosRandom.js';
import type { PlatformExitMonitor } from './PlatformExitMonitor.js';
import type { PlatformSite } from './PlatformSite.js';
import { sleep } from './sleep.js';

/** Number of series of faults at the same time. */
const seriesCount = 4;

/** Injects series of temporary faults that overlap, at most one of a kind in each host, worker or store. */
export class PlatformSoakFaults {
  readonly #site: PlatformSite;
  readonly #exits: PlatformExitMonitor;
  readonly #random: ChaosRandom;
  readonly #print: (line: string) => void;
  readonly #activeSubjects = new Set<string>();

  /**
   * @param site - the site that gets the faults
   * @param exits - monitor of the processes of the hosts
   * @param random - random choices
   * @param print - prints a line for each fault
   */
  public constructor(
    site: PlatformSite,
    exits: PlatformExitMonitor,
    random: ChaosRandom,
    print: (line: string) => void,
  ) {
    this.#site = site;
    this.#exits = exits;
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
    const injectSeries = async (): Promise<void> => {
      while (performance.now() < endsAt) {
        await this.#injectFault();
        await sleep(this.#random.drawInteger(1200));
      }
    };
    await Promise.all(Array.from({ length: seriesCount }, injectSeries));
  }

  async #injectFault(): Promise<void> {
    const host = this.#random.pick(this.#site.hosts);
    const leader = this.#random.drawChance(50) ? (this.#site.leader ?? host) : host;
    const worker = this.#random.pick(this.#site.workers);
    const faults: readonly (readonly [string, () => Promise<void>])[] = [
      [`process of ${host.name}`, () => this.#replaceHost(host, 'SIGTERM')],
      [`process of ${leader.name}`, () => this.#replaceHost(leader, 'SIGTERM')],
      [`process of ${leader.name}`, () => this.#replaceHost(leader, 'SIGKILL')],
      [`pause of ${leader.name}`, () => this.#pauseHost(leader)],
      ['store', () => this.#silenceStore()],
      [worker.id, () => this.#restartWorker(worker)],
      [worker.id, () => this.#cutWorkerOff(worker)],
      [worker.id, () => this.#loseAnswers(worker)],
      ['configuration', () => this.#changeConfiguration()],
    ];
    const [subject, run] = this.#random.pick(faults);
    if (this.#activeSubjects.has(subject)) return;
    this.#activeSubjects.add(subject);
    await run();
    this.#activeSubjects.delete(subject);
  }

  async #replaceHost(
    host: PlatformSite['hosts'][number],
    signal: 'SIGTERM' | 'SIGKILL',
  ): Promise<void> {
    const delayMs = this.#random.drawInteger(1500);
    this.#print(`${signal} to ${host.name}, replaced ${delayMs} ms after its end`);
    await this.#exits.end(host.process, signal);
    await sleep(delayMs);
    const started = this.#site.startAgain(host);
    this.#exits.watch(started.name, started.process);
    this.#print(`${host.name} starts again`);
  }

  async #pauseHost({ name, process: child }: PlatformSite['hosts'][number]): Promise<void> {
    const pauseMs = 1000 + this.#random.drawInteger(5001);
    this.#print(`SIGSTOP to ${name} for ${pauseMs} ms`);
    child.kill('SIGSTOP');
    await sleep(pauseMs);
    child.kill('SIGCONT');
  }

  async #silenceStore(): Promise<void> {
    const silenceMs = 1000 + this.#random.drawInteger(7001);
    const fault = this.#random.pick(['hang', 'down', 'loseAnswers'] as const);
    this.#print(`store: ${fault} for ${silenceMs} ms`);
    this.#site.store.setFault(fault);
    await sleep(silenceMs);
    this.#site.store.setFault('none');
  }

  async #restartWorker(worker: PlatformSite['workers'][number]): Promise<void> {
    const isCutOff = this.#random.drawChance(50);
    const listedAfterMs = this.#random.drawInteger(1500);
    const contactMs = this.#random.drawInteger(2500);
    this.#print(`${worker.id} restarts, is listed after ${listedAfterMs} ms`);
    worker.restart();
    await sleep(listedAfterMs);
    this.#site.store.put(`servers/${worker.id}`, worker.serverRecord);
    if (!isCutOff) return;
    await sleep(contactMs);
    await this.#cutWorkerOff(worker);
  }

  async #cutWorkerOff(worker: PlatformSite['workers'][number]): Promise<void> {
    const cutMs = 1000 + this.#random.drawInteger(8001);
    const fault = this.#random.pick(['hang', 'down'] as const);
    this.#print(`${worker.id}: ${fault} for ${cutMs} ms`);
    worker.setFault(fault);
    worker.closeConnections();
    await sleep(cutMs);
    worker.setFault('none');
  }

  async #loseAnswers(worker: PlatformSite['workers'][number]): Promise<void> {
    const lossMs = 50 + this.#random.drawInteger(500);
    this.#print(`${worker.id}: answers are lost for ${lossMs} ms`);
    worker.setFault('loseAnswers');
    await sleep(lossMs);
    worker.setFault('none');
  }

  async #changeConfiguration(): Promise<void> {
    const keys = ['key-1', `key-${2 + this.#random.drawInteger(5)}`];
    this.#print(`configuration with ${keys.join(' and ')}`);
    this.#site.writeConfiguration(keys);
    await sleep(200);
  }
}
