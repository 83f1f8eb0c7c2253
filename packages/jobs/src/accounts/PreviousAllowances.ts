import type { CapAllowance, Room } from '@toucanline/schema';
import type { AccountUsage } from '../AccountUsage.js';
import { resources } from '../resources.js';
import type { Task } from '../Task.js';
import type { Worker } from '../Worker.js';
import { combineRooms } from './combineRooms.js';

/** A member of a gang that the first report of a worker listed. */
interface SurveyedMember {
  readonly task: Task;
  readonly run: number;
}

/**
 * What the previous leader may have running in each account: its allowance, less the runs that the surveyed workers
 * have reported. These stay counted by the previous leader, because surveyed workers no longer report their ends to it.
 */
export class PreviousAllowances {
  /** Allowances by account; undefined if they are not known, so that each account may have used its whole cap. */
  #allowances: ReadonlyMap<string, Room> | undefined;
  readonly #surveyed = new Map<AccountUsage, Room>();
  readonly #members = new Map<AccountUsage, SurveyedMember[]>();
  #isSettled = false;

  /** Whether nothing that the previous leader started can run without being known. */
  public get isSettled(): boolean {
    return this.#isSettled;
  }

  /** Whether the allowances of the previous leader are known. */
  public get isKnown(): boolean {
    return this.#allowances !== undefined;
  }

  /** Names of the accounts in which it may have started runs that are not known; empty if all accounts may have such. */
  public get accountNames(): readonly string[] {
    return this.#isSettled ? [] : [...(this.#allowances?.keys() ?? [])];
  }

  /**
   * Sets the allowances of the previous leader.
   *
   * @param allowances - stored allowances; undefined if they are not known
   */
  public restore(allowances: readonly CapAllowance[] | undefined): void {
    this.#allowances =
      allowances && new Map(allowances.map(({ account, room }) => [account, room]));
  }

  /**
   * Subtracts the runs that a worker has reported from what may run unseen.
   *
   * @param worker - worker whose tasks were adopted from its first report
   */
  public recordSurvey(worker: Worker): void {
    for (const task of worker.tasks) {
      const { job, description } = task.step;
      // The previous leader releases a member once another one is reported as ended, possibly by an unsurveyed worker.
      if (description.isGang === true) this.#addMember(job.account, { task, run: task.run });
      else this.#addSurveyed(job.account, description.size);
    }
  }

  /** Records that all workers of the previous leader are surveyed, or their leases have expired. */
  public settle(): void {
    this.#isSettled = true;
    this.#surveyed.clear();
    this.#members.clear();
  }

  /**
   * Computes what the previous leader may have running in an account on workers that are not surveyed.
   *
   * @param account - account with a cap
   * @param bound - most that can run on these workers; undefined if they are not known
   * @returns amount of each resource
   */
  public computeUnseen(account: AccountUsage, bound: Room | undefined): Room {
    if (this.#isSettled) return resources.none;
    const allowance =
      this.#allowances === undefined
        ? account.cap
        : (this.#allowances.get(account.name) ?? resources.none);
    let unseen = resources.add(allowance, this.#surveyed.get(account) ?? resources.none, -1);
    for (const { task, run } of this.#members.get(account) ?? []) {
      if (task.isPlaced && task.run === run)
        unseen = resources.add(unseen, task.step.description.size, -1);
    }
    const bounded = bound === undefined ? unseen : combineRooms(unseen, bound, Math.min);
    return combineRooms(bounded, resources.none, Math.max);
  }

  #addMember(account: AccountUsage, member: SurveyedMember): void {
    const known = this.#members.get(account);
    if (known === undefined) this.#members.set(account, [member]);
    else known.push(member);
  }

  #addSurveyed(account: AccountUsage, size: Room): void {
    const known = this.#surveyed.get(account) ?? resources.none;
    this.#surveyed.set(account, resources.add(known, size));
  }
}
