import type { RefusalReason } from '@toucanline/schema';
import type { GuardedConnection } from './GuardedConnection.js';

/** Share of a budget above which the connections of one address are closed before those of others. */
const addressShare = 1 / 4;

/**
 * Amounts of a limited resource that connections hold. If the budget is used up, connections are closed: those with an
 * unfinished request first, then idle ones, then those whose peer does not read its responses. Of these, the ones of an
 * address that holds much are closed first, and the oldest first. A connection with an unanswered complete request is
 * never closed.
 */
export class ResourceLedger {
  readonly #maxAmount: number;
  readonly #reason: RefusalReason;
  /** Amount by connection, in the order of the last change of each connection's state. */
  readonly #amounts = new Map<GuardedConnection, number>();
  readonly #addressAmounts = new Map<string, number>();
  #usedAmount = 0;

  /**
   * @param maxAmount - the budget
   * @param reason - reason that is reported for connections closed in favour of others
   */
  public constructor(maxAmount: number, reason: RefusalReason) {
    this.#maxAmount = maxAmount;
    this.#reason = reason;
  }

  /** Connections that hold a part of the resource. */
  public get connections(): readonly GuardedConnection[] {
    return [...this.#amounts.keys()];
  }

  /** Whether half of the budget is used. The rest is kept for connections that hold nothing yet. */
  public get isHalfUsed(): boolean {
    return this.#usedAmount > this.#maxAmount / 2;
  }

  /**
   * Reserves an amount, and closes other connections if necessary.
   *
   * @param connection - the connection that needs it
   * @param amount - the amount
   * @returns false if it is not available; the connection itself may have been closed in favour of newer ones
   */
  public reserve(connection: GuardedConnection, amount: number): boolean {
    while (this.#usedAmount + amount > this.#maxAmount) {
      const victim = this.#findVictim();
      if (victim === undefined) return false;
      victim.refuse(this.#reason);
      // The victim releases what it holds; this ends the loop even if its accounting failed.
      this.#set(victim, 0);
      if (victim === connection) return false;
    }
    this.add(connection, amount);
    return true;
  }

  /**
   * Counts an amount that is held in any case, also above the budget.
   *
   * @param connection - the connection that holds it
   * @param amount - the amount
   */
  public add(connection: GuardedConnection, amount: number): void {
    this.#set(connection, (this.#amounts.get(connection) ?? 0) + amount);
  }

  /**
   * Releases a part of what a connection holds.
   *
   * @param connection - the connection
   * @param amount - the amount; everything by default
   */
  public release(connection: GuardedConnection, amount = Infinity): void {
    this.#set(connection, Math.max(0, (this.#amounts.get(connection) ?? 0) - amount));
  }

  /**
   * Marks a connection as the newest, because it began a request or became idle.
   *
   * @param connection - the connection
   */
  public touch(connection: GuardedConnection): void {
    const amount = this.#amounts.get(connection);
    if (amount === undefined) return;
    this.#amounts.delete(connection);
    this.#amounts.set(connection, amount);
  }

  #set(connection: GuardedConnection, amount: number): void {
    const change = amount - (this.#amounts.get(connection) ?? 0);
    if (change === 0) return;
    if (amount === 0) this.#amounts.delete(connection);
    else this.#amounts.set(connection, amount);
    this.#usedAmount += change;
    const addressAmount = (this.#addressAmounts.get(connection.address) ?? 0) + change;
    if (addressAmount === 0) this.#addressAmounts.delete(connection.address);
    else this.#addressAmounts.set(connection.address, addressAmount);
  }

  #findVictim(): GuardedConnection | undefined {
    const firstByRank: (GuardedConnection | undefined)[] = [];
    for (const connection of this.#amounts.keys()) {
      const { evictionRank: rank } = connection;
      if (rank === undefined) continue;
      const held = this.#addressAmounts.get(connection.address) ?? 0;
      const isOverShare = held > this.#maxAmount * addressShare;
      if (rank === 0 && isOverShare) return connection;
      firstByRank[2 * rank + (isOverShare ? 0 : 1)] ??= connection;
    }
    return firstByRank.find((connection) => connection !== undefined);
  }
}
