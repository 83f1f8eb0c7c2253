import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { coversResources } from './coversResources.js';
import { subtractResources } from './subtractResources.js';
import { zeroResources } from './zeroResources.js';

/** Use and allotment of each team in a shard. */
export class TeamLedger {
  readonly #use = new Map<string, Resources>();
  #allotments: ReadonlyMap<string, Resources> = new Map();
  #changed = new Set<string>();
  #version = 0;

  /** Increases with each change that may let waiting work start. */
  public get version(): number {
    return this.#version;
  }

  /** Sum of the declared sizes of running work, per team. */
  public get use(): ReadonlyMap<string, Resources> {
    return this.#use;
  }

  /**
   * Takes the teams whose use or allotment has changed since the last call.
   *
   * @returns names of the teams
   */
  public takeChangedTeams(): ReadonlySet<string> {
    const changed = this.#changed;
    if (changed.size > 0) this.#changed = new Set();
    return changed;
  }

  /**
   * Sets the amount that each team may run in this shard.
   *
   * @param allotments - allotment per team; a team without one is not limited
   */
  public setAllotments(allotments: ReadonlyMap<string, Resources>): void {
    const previous = this.#allotments;
    for (const team of [...this.#allotments.keys(), ...allotments.keys()]) this.#changed.add(team);
    this.#allotments = allotments;
    const hasGrown = [...previous].some(([team, amount]) => {
      const current = allotments.get(team);
      return current === undefined || !coversResources(amount, current);
    });
    if (hasGrown) this.#version += 1;
  }

  /** Allotment in this shard of each team with a limit. */
  public get allotments(): ReadonlyMap<string, Resources> {
    return this.#allotments;
  }

  /**
   * Reads the allotment of a team.
   *
   * @param team - name of the team
   * @returns the allotment; undefined if the team has no limit
   */
  public readAllotment(team: string): Resources | undefined {
    return this.#allotments.get(team);
  }

  /**
   * Reads the use of a team.
   *
   * @param team - name of the team
   * @returns sum of the declared sizes of its running work
   */
  public readUse(team: string): Resources {
    return this.#use.get(team) ?? zeroResources;
  }

  /**
   * Checks whether a team may start work of a size.
   *
   * @param team - name of the team
   * @param amount - declared size of the work
   * @returns true if the team stays within its allotment
   */
  public canCharge(team: string, amount: Resources): boolean {
    const allotment = this.#allotments.get(team);
    return (
      allotment === undefined ||
      coversResources(allotment, addResources(this.readUse(team), amount))
    );
  }

  /**
   * Adds started work to the use of a team.
   *
   * @param team - name of the team
   * @param amount - declared size of the work
   */
  public charge(team: string, amount: Resources): void {
    this.#use.set(team, addResources(this.readUse(team), amount));
    this.#changed.add(team);
  }

  /**
   * Subtracts ended work from the use of a team.
   *
   * @param team - name of the team
   * @param amount - declared size of the work
   */
  public release(team: string, amount: Resources): void {
    this.#use.set(team, subtractResources(this.readUse(team), amount));
    this.#changed.add(team);
    this.#version += 1;
  }
}
