import type { Allotments, Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import type { AllotmentDemand } from './AllotmentDemand.js';
import { coversResources } from './coversResources.js';
import { divideFairly } from './divideFairly.js';
import { maxResources } from './maxResources.js';
import { minResources } from './minResources.js';
import { scaleResources } from './scaleResources.js';
import { subtractResources } from './subtractResources.js';
import { sumAllotments } from './sumAllotments.js';
import { zeroResources } from './zeroResources.js';

/**
 * Fraction of a limit that idle shards together hold as headroom, so that first requests need no store
 * write and most of the limit stays usable during a store outage. The rest is free for the first shard with
 * demand.
 */
const headroomFraction = 0.8;
/** Largest excess that a shard keeps while no other shard needs it, as a fraction of the limit. */
const toleratedExcessFraction = 0.2;
/** Granularity by which amounts grow, so that rounding errors do not add up over many changes. */
const amountStep = 1e-3;

/** Input of the plan for one team. */
interface PlanInput {
  readonly team: string;
  /** Limit of the team over the whole fleet; undefined if it has none. */
  readonly limit: Resources | undefined;
  readonly record: Allotments;
  readonly own: AllotmentDemand;
  /** Use and demand in each other shard, by shard. */
  readonly others: ReadonlyMap<string, AllotmentDemand>;
  /** Amount that this shard must reduce to while the record exceeds the limit. */
  readonly target: Resources;
}

const mapResources = (map: (name: keyof Resources) => number): Resources => ({
  processors: map('processors'),
  memoryMb: map('memoryMb'),
  accelerators: map('accelerators'),
});

const calculateWanted = ({ use, demand }: AllotmentDemand): Resources => addResources(use, demand);

/** Plans the allotments of one shard: when to request more, when to release some and how much headroom to hold. */
export class AllotmentPlanner {
  readonly #shard: string;
  readonly #isServing: () => boolean;

  /**
   * @param shard - name of the shard
   * @param isServing - whether the document still lists the shard, which holds headroom only then
   */
  public constructor(shard: string, isServing: () => boolean) {
    this.#shard = shard;
    this.#isServing = isServing;
  }

  /**
   * Plans the amount for one team.
   *
   * @param input - input of the plan
   * @returns the amount that the shard should have now
   */
  public plan(input: PlanInput): Resources {
    const { limit, record, team, own, target } = input;
    const current = this.#readCurrent(input);
    if (limit === undefined) return zeroResources;
    const sum = sumAllotments(record, team);
    if (!coversResources(limit, sum)) return maxResources(own.use, minResources(current, target));
    const wanted = minResources(
      limit,
      addResources(calculateWanted(own), this.#calculateHeadroom(input)),
    );
    const free = subtractResources(limit, sum);
    const capped = this.isPeerShort(input) ? this.#limitToFairPart(input, wanted) : wanted;
    const grown = this.#growEvenly(current, capped, free);
    // Use above the amount was started by a previous owner or before the limit was set.
    return maxResources(own.use, this.#canKeepExcess(input, wanted) ? current : grown);
  }

  /**
   * Checks whether another shard has demand that its allotment does not cover.
   *
   * @param input - input of the plan
   * @returns true if at least one shard is short
   */
  public isPeerShort({ record, team, others }: PlanInput): boolean {
    for (const [shard, demand] of others) {
      const amount = record.teams[team]?.[shard] ?? zeroResources;
      if (!coversResources(amount, calculateWanted(demand))) return true;
    }
    return false;
  }

  #readCurrent({ record, team }: PlanInput): Resources {
    return record.teams[team]?.[this.#shard] ?? zeroResources;
  }

  #calculateHeadroom(input: PlanInput): Resources {
    const { limit, others } = input;
    const shards = others.size + 1;
    if (limit === undefined || !this.#isServing() || this.isPeerShort(input)) {
      return zeroResources;
    }
    return scaleResources(limit, headroomFraction / shards);
  }

  /** A small excess is kept while no other shard needs it, so that fluctuating use causes no writes. */
  #canKeepExcess(input: PlanInput, wanted: Resources): boolean {
    const { limit } = input;
    if (limit === undefined || !this.#isServing() || this.isPeerShort(input)) return false;
    const current = this.#readCurrent(input);
    if (!coversResources(current, wanted)) return false;
    return coversResources(
      scaleResources(limit, toleratedExcessFraction),
      subtractResources(current, wanted),
    );
  }

  /** Limits the amount to the max-min fair part of this shard among all shards with use or demand. */
  #limitToFairPart({ limit, own, others, record, team }: PlanInput, wanted: Resources): Resources {
    const wantedAmounts = [own, ...others.values()].map(calculateWanted);
    const allotments = record.teams[team] ?? {};
    const shards = new Set([this.#shard, ...others.keys()]);
    let unknownShards = zeroResources;
    for (const [shard, amount] of Object.entries(allotments)) {
      if (!shards.has(shard)) unknownShards = addResources(unknownShards, amount);
    }
    const total = subtractResources(limit ?? zeroResources, unknownShards);
    const fair = mapResources(
      (name) =>
        divideFairly(
          total[name],
          wantedAmounts.map((amount) => amount[name]),
        )[0] ?? 0,
    );
    return minResources(wanted, fair);
  }

  /** Grows all resources by the same fraction of what is missing, because work needs all of them together. */
  #growEvenly(current: Resources, wanted: Resources, free: Resources): Resources {
    const missing = subtractResources(wanted, current);
    let part = 1;
    for (const name of ['processors', 'memoryMb', 'accelerators'] as const) {
      if (missing[name] > amountStep) part = Math.min(part, free[name] / missing[name]);
    }
    return mapResources((name) => {
      if (missing[name] === 0) return wanted[name];
      const growth = Math.floor((missing[name] * part) / amountStep + 1e-9) * amountStep;
      return current[name] + Math.min(growth, free[name]);
    });
  }
}
