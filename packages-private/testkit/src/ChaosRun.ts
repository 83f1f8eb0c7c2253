import { ChaosFaultInjector } from './ChaosFaultInjector.js';
import { ChaosChecker } from './ChaosChecker.js';
import { ChaosLoad } from './ChaosLoad.js';
import { ChaosRandom } from './ChaosRandom.js';
import { ChaosSite } from './ChaosSite.js';

/** Result of a run. */
interface ChaosResult {
  /** Number of answers by outcome. */
  readonly outcomes: ReadonlyMap<string, number>;
  /** Violated invariants, one sentence each. */
  readonly violations: readonly string[];
  /** Log lines of all daemons, each with the name of its process. */
  readonly log: readonly string[];
}

/** A run of mixed load under random faults on a site of two data centres. */
export class ChaosRun {
  readonly #seed: number;
  readonly #durationMs: number;
  readonly #print: (line: string) => void;

  /**
   * @param seed - determines load and faults, but not their interleaving with the daemons
   * @param durationMs - time during which faults are started, in milliseconds
   * @param print - prints a line of output
   */
  public constructor(seed: number, durationMs: number, print: (line: string) => void) {
    this.#seed = seed;
    this.#durationMs = durationMs;
    this.#print = print;
  }

  /**
   * Runs the load under faults and checks the invariants.
   *
   * @returns outcomes, violations and logs
   */
  public async run(): Promise<ChaosResult> {
    const site = new ChaosSite();
    const checker = new ChaosChecker(site);
    const load = new ChaosLoad(site, checker, new ChaosRandom(this.#seed));
    this.#print(`seed ${this.#seed}`);
    try {
      await site.start();
      const startedAt = performance.now();
      const printFault = (line: string): void => {
        this.#print(`${((performance.now() - startedAt) / 1000).toFixed(1).padStart(6)} s ${line}`);
      };
      const injector = new ChaosFaultInjector(
        site,
        load,
        new ChaosRandom(this.#seed + 1),
        printFault,
      );
      load.start();
      await injector.run(this.#durationMs);
      printFault('end of faults');
      await load.settle();
      printFault('end of load');
      const log = [...site.site.schedulers, ...site.site.entries].flatMap((daemon) =>
        daemon.log.map((line) => `${daemon.settings.process} ${line}`),
      );
      return { outcomes: checker.outcomes, violations: checker.violations, log };
    } finally {
      await site.stop();
    }
  }
}
