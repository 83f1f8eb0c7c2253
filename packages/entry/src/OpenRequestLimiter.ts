import { createFailure } from '@toucanline/core';
import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';

const retryAfterSeconds = 2;

/** Maximum numbers of open requests. */
interface OpenRequestLimits {
  readonly total: number;
  readonly perTeam: number;
}

/**
 * Counts the open attached requests of an entry, whether their caller still waits or has received 202. The limits
 * bound the memory and the pending calls of the entry, and no team can use up the total limit alone.
 */
export class OpenRequestLimiter {
  readonly #limits: OpenRequestLimits;
  readonly #counts = new Map<string, number>();
  #total = 0;

  /** @param limits - maximum number of open requests, of all teams and of each team */
  public constructor(limits: OpenRequestLimits) {
    this.#limits = limits;
  }

  /**
   * Counts another request, or refuses it before it is submitted to any shard.
   *
   * @param team - team of the caller
   * @returns nothing if the request is counted; `overloaded` if a limit is reached
   */
  public admit(team: string): Result<void, Failure> {
    const count = this.#counts.get(team) ?? 0;
    const { total, perTeam } = this.#limits;
    if (count >= perTeam || this.#total >= total) {
      const detail = `this entry has ${this.#total} requests open, ${count} of team ${team}`;
      return err(createFailure('overloaded', detail, retryAfterSeconds));
    }
    this.add(team);
    return ok(undefined);
  }

  /**
   * Counts another request that was accepted already, regardless of the limits.
   *
   * @param team - team of the caller
   */
  public add(team: string): void {
    this.#counts.set(team, (this.#counts.get(team) ?? 0) + 1);
    this.#total += 1;
  }

  /**
   * Removes a completed request from the count.
   *
   * @param team - team of the caller
   */
  public release(team: string): void {
    const remaining = (this.#counts.get(team) ?? 0) - 1;
    if (remaining > 0) this.#counts.set(team, remaining);
    else this.#counts.delete(team);
    this.#total -= 1;
  }
}
