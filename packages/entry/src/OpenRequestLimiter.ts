import { createFailure } from '@toucanline/core';
import type { Failure } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';

const retryAfterSeconds = 2;

/** Bounds of the counter. */
interface OpenRequestLimits {
  readonly total: number;
  readonly perTeam: number;
}

/**
 * Counts the attached requests that an entry has open, whether their caller waits or has got 202. The bounds
 * limit the memory and the calls of the entry; one team cannot take the whole bound.
 */
export class OpenRequestLimiter {
  readonly #limits: OpenRequestLimits;
  readonly #counts = new Map<string, number>();
  #total = 0;

  /** @param bounds - most open requests, of all teams and of one team */
  public constructor(bounds: OpenRequestLimits) {
    this.#limits = bounds;
  }

  /**
   * Counts one more request, or refuses it before it is offered to any shard.
   *
   * @param team - team of the caller
   * @returns nothing if it is counted; `overloaded` if a bound is reached
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
   * Counts one more request that was accepted already.
   *
   * @param team - team of the caller
   */
  public add(team: string): void {
    this.#counts.set(team, (this.#counts.get(team) ?? 0) + 1);
    this.#total += 1;
  }

  /**
   * Ends a request that was counted.
   *
   * @param team - team of the caller
   */
  public release(team: string): void {
    const left = (this.#counts.get(team) ?? 0) - 1;
    if (left > 0) this.#counts.set(team, left);
    else this.#counts.delete(team);
    this.#total -= 1;
  }
}
