import { ChaosFaultInjector } from './ChaosFaultInjector.js';
import { ChaosChecker } from './ChaosChecker.js';
import { ChaosLoad } from './ChaosLoad.js';
import { ChaosRandom } from './ChaosRandom.js';
import { ChaosSite } from './ChaosSite.js';

/** What a run showed. */
interface ChaosResult {
  readonly outcomes: ReadonlyMap<string, number>;
  readonly violations: readonly string[];
  /** Log lines of all daemons, each with the name of its process. */
  readonly log: readonly string[];
}

/** A run of mixed load under random faults at a site of two data centres. */
export class ChaosRun {
  readonly #seed: number;
  readonly #durationMs: number;
  readonly #print: (line: string) => void;

  /**
   * @param seed - determines load and faults; their interleaving with the daemons varies
   * @param durationMs - time in which faults begin, in milliseconds
   * @param print - takes the lines of the run
   */
  public constructor(seed: number, durationMs: number, print: (line: string) => void) {
    this.#seed = seed;
    this.#durationMs = durationMs;
    this.#print = print;
  }

  /**
   * Runs the load under faults and checks the promises.
   *
   * @returns what was seen
   */
  public async run(): Promise<ChaosResult> {
    const site = new ChaosSite();
    const judge = new ChaosChecker(site);
    const load = new ChaosLoad(site, judge, new ChaosRandom(this.#seed));
    this.#print(`seed ${this.#seed}`);
    try {
      await site.start();
      const startedAt = performance.now();
      const printFault = (line: string): void => {
        this.#print(`${((performance.now() - startedAt) / 1000).toFixed(1).padStart(6)} s ${line}`);
      };
      const faults = new ChaosFaultInjector(
        site,
        load,
        new ChaosRandom(this.#seed + 1),
        printFault,
      );
      load.start();
      await faults.run(this.#durationMs);
      printFault('faults are over');
      await load.settle();
      printFault('load is over');
      const log = [...site.site.schedulers, ...site.site.entries].flatMap((daemon) =>
        daemon.log.map((line) => `${daemon.settings.process} ${line}`),
      );
      return { outcomes: judge.outcomes, violations: judge.violations, log };
    } finally {
      await site.stop();
    }
  }
}
