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
 * Part of a limit that idle shards together keep, so that first requests need no store write and a
 * store outage leaves them most of the limit. The rest is free for the first shard with demand.
 */
const headroomFraction = 0.8;
/** Excess that a shard keeps while nobody needs it, as a part of the limit. */
const toleratedExcessFraction = 0.2;
/** Amounts are multiples of this, so that sums of many moves stay exact enough. */
const amountStep = 1e-3;

/** What a plan for one team depends on. */
interface PlanInput {
  readonly team: string;
  /** Limit over the whole fleet; undefined if the team has none. */
  readonly limit: Resources | undefined;
  readonly record: Allotments;
  readonly own: AllotmentDemand;
  /** Demand in each other shard. */
  readonly others: ReadonlyMap<string, AllotmentDemand>;
  /** Amount that this shard shrinks to while the record exceeds the limit. */
  readonly target: Resources;
}

const mapResources = (map: (name: keyof Resources) => number): Resources => ({
  processors: map('processors'),
  memoryMb: map('memoryMb'),
  accelerators: map('accelerators'),
});

const calculateWanted = ({ use, demand }: AllotmentDemand): Resources => addResources(use, demand);

/** Plans the allotments of one shard: when it asks for more, gives back and keeps headroom. */
export class AllotmentPlanner {
  readonly #shard: string;
  readonly #isServing: () => boolean;

  /**
   * @param shard - name of the shard
   * @param isServing - whether the shard belongs to the document and keeps headroom
   */
  public constructor(shard: string, isServing: () => boolean) {
    this.#shard = shard;
    this.#isServing = isServing;
  }

  /**
   * Plans the amount for one team.
   *
   * @param situation - what the plan depends on
   * @returns the amount that the shard should have now
   */
  public plan(situation: PlanInput): Resources {
    const { limit, record, team, own, target } = situation;
    const current = this.#readCurrent(situation);
    if (limit === undefined) return zeroResources;
    const sum = sumAllotments(record, team);
    if (!coversResources(limit, sum)) return maxResources(own.use, minResources(current, target));
    const wanted = minResources(
      limit,
      addResources(calculateWanted(own), this.#calculateHeadroom(situation)),
    );
    const free = subtractResources(limit, sum);
    const capped = this.isPeerShort(situation) ? this.#limitToFairPart(situation, wanted) : wanted;
    const grown = this.#growEvenly(current, capped, free);
    // Use above the amount was started by another owner or under a document without this limit.
    return maxResources(own.use, this.#canKeepExcess(situation, wanted) ? current : grown);
  }

  /**
   * Checks whether another shard has demand that its allotment does not cover.
   *
   * @param situation - what the plan depends on
   * @returns true if a shard is short
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

  #calculateHeadroom(situation: PlanInput): Resources {
    const { limit, others } = situation;
    const shards = others.size + 1;
    if (limit === undefined || !this.#isServing() || this.isPeerShort(situation)) {
      return zeroResources;
    }
    return scaleResources(limit, headroomFraction / shards);
  }

  /** A small excess is kept while nobody needs it, so that a fluctuating use causes no writes. */
  #canKeepExcess(situation: PlanInput, wanted: Resources): boolean {
    const { limit } = situation;
    if (limit === undefined || !this.#isServing() || this.isPeerShort(situation)) return false;
    const current = this.#readCurrent(situation);
    if (!coversResources(current, wanted)) return false;
    return coversResources(
      scaleResources(limit, toleratedExcessFraction),
      subtractResources(current, wanted),
    );
  }

  /** Bounds the amount by the max-min fair part of this shard among all that want some. */
  #limitToFairPart({ limit, own, others, record, team }: PlanInput, wanted: Resources): Resources {
    const wants = [own, ...others.values()].map(calculateWanted);
    const rows = record.teams[team] ?? {};
    const shards = new Set([this.#shard, ...others.keys()]);
    let unknown = zeroResources;
    for (const [shard, amount] of Object.entries(rows)) {
      if (!shards.has(shard)) unknown = addResources(unknown, amount);
    }
    const total = subtractResources(limit ?? zeroResources, unknown);
    const fair = mapResources(
      (name) =>
        divideFairly(
          total[name],
          wants.map((want) => want[name]),
        )[0] ?? 0,
    );
    return minResources(wanted, fair);
  }

  /** Grows all resources by the same part of what is missing: one without the others is of no use. */
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
