import { Benchmark } from './Benchmark.js';
import { compareSchedulers } from './compareSchedulers.js';
import { createArrivals } from './createArrivals.js';
import { calculateEntitlementRatios } from './calculateEntitlementRatios.js';
import { SeededRandom } from './SeededRandom.js';
import { siteProfiles } from './siteProfiles.js';
import type { SiteResult } from './SiteResult.js';
import type { WaitSummary } from './WaitSummary.js';

const period = { measuredFromMs: 300_000, durationMs: 2_400_000, stepMs: 100 };
/** Offered load as a multiple of the capacity of the fleet: normal load and overload. */
const loads = [0.7, 1.5];

const formatWait = ({ p50Ms, p99Ms, waiting }: WaitSummary): string => {
  const seconds = `${(p50Ms / 1000).toFixed(1)}/${(p99Ms / 1000).toFixed(1)} s`;
  return waiting === 0 ? seconds : `${seconds}, ${waiting} not started`;
};

/**
 * Measures waiting times per queue, and how closely teams get their entitlements, on the sites of both users,
 * for the core and the baselines. Requests stay in the data centre where they arrive.
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
        // Static allotments, the last result, are left out: they match the shares only by leaving half of
        // the fleet idle.
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

  /** Returns the largest relative deviation of a team from its entitlement. */
  #calculateWorstDeviation(teams: SiteResult['teams']): number {
    return Math.max(
      ...[...calculateEntitlementRatios(teams).values()].map((ratio) => Math.abs(ratio - 1)),
    );
  }

  #printResult({ name, waits, teamWaits, teams }: SiteResult, print: (line: string) => void): void {
    print(`  ${name}`);
    print(`    ${[...waits].map(([kind, wait]) => `${kind} ${formatWait(wait)}`).join('; ')}`);
    const ratios = [...calculateEntitlementRatios(teams)].map(([team, ratio]) => {
      const wait = teamWaits.get(team);
      const text = wait === undefined ? '' : ` ${formatWait(wait)}`;
      return `${team} ${(ratio * 100).toFixed(0)}%${text}`;
    });
    print(`    part of the entitlement, wait: ${ratios.join('; ')}`);
  }
}
