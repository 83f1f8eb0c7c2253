import { Benchmark } from './Benchmark.js';
import { compareSchedulers } from './compareSchedulers.js';
import { createArrivals } from './createArrivals.js';
import { calculateEntitlementRatios } from './calculateEntitlementRatios.js';
import { SeededRandom } from './SeededRandom.js';
import { siteProfiles } from './siteProfiles.js';
import type { SiteResult } from './SiteResult.js';
import type { WaitSummary } from './WaitSummary.js';

const period = { measuredFromMs: 300_000, durationMs: 2_400_000, stepMs: 100 };
/** A usual load, and more than the fleet can do. */
const loads = [0.7, 1.5];

const describeWait = ({ p50Ms, p99Ms, waiting }: WaitSummary): string => {
  const seconds = `${(p50Ms / 1000).toFixed(1)}/${(p99Ms / 1000).toFixed(1)} s`;
  return waiting === 0 ? seconds : `${seconds}, ${waiting} not started`;
};

/**
 * Waiting time by kind of work and closeness of teams to their shares on the sites of both users, for
 * the core and the baselines. Requests stay in the data centre at which they arrive.
 */
export class WaitingBenchmark extends Benchmark {
  /** {@inheritDoc Benchmark.name} */
  public override get name(): string {
    return 'waiting';
  }

  /** {@inheritDoc Benchmark.run} */
  public override run(seed: number, print: (line: string) => void): Promise<boolean> {
    let isFair = true;
    for (const profile of siteProfiles) {
      for (const load of loads) {
        const random = new SeededRandom(seed);
        const arrivals = createArrivals(profile, load, period.durationMs, random);
        const { length } = profile.shards;
        print(
          `${profile.name}: ${length} data centres, load ${load}, ${arrivals.length} requests; ` +
            'wait p50/p99',
        );
        const results = compareSchedulers(profile, arrivals, period, random);
        for (const result of results) this.#printResult(result, print);
        // Static allotments are close to the shares because they leave half of the fleet idle.
        const [core, ...others] = results
          .slice(0, -1)
          .map(({ teams }) => this.#calculateWorstDeviation(teams));
        if (load > 1) isFair &&= others.every((other) => (core ?? Infinity) <= other);
      }
    }
    print(
      `${isFair ? 'met   ' : 'MISSED'} no baseline that fills the fleet is closer to the shares above saturation`,
    );
    return Promise.resolve(isFair);
  }

  /** Largest deviation of a team from what it is entitled to. */
  #calculateWorstDeviation(teams: SiteResult['teams']): number {
    return Math.max(
      ...[...calculateEntitlementRatios(teams).values()].map((part) => Math.abs(part - 1)),
    );
  }

  #printResult({ name, waits, teamWaits, teams }: SiteResult, print: (line: string) => void): void {
    print(`  ${name}`);
    print(`    ${[...waits].map(([kind, wait]) => `${kind} ${describeWait(wait)}`).join('; ')}`);
    const closeness = [...calculateEntitlementRatios(teams)].map(([team, part]) => {
      const wait = teamWaits.get(team);
      const text = wait === undefined ? '' : ` ${describeWait(wait)}`;
      return `${team} ${(part * 100).toFixed(0)}%${text}`;
    });
    print(`    part of the entitlement, wait: ${closeness.join('; ')}`);
  }
}
