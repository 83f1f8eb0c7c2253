import type { Resources } from '@toucanline/schema';
import { addResources } from './addResources.js';
import { RequestClass } from './RequestClass.js';
import type { RequestRecord } from './RequestRecord.js';
import { scaleResources } from './scaleResources.js';
import { subtractResources } from './subtractResources.js';
import { zeroResources } from './zeroResources.js';

const nameClass = ({ request, pendingIndexes }: RequestRecord): string => {
  const { queue, kind, urgent, size, acceleratorType } = request;
  const { processors, memoryMb, accelerators } = size;
  const parts = [queue, kind, urgent, processors, memoryMb, accelerators, acceleratorType ?? ''];
  return [...parts, pendingIndexes.length].join('|');
};

/** Waiting requests of a shard by team and class. */
export class WaitingQueue {
  readonly #teams = new Map<string, Map<string, RequestClass>>();
  readonly #classOf = new Map<RequestRecord, RequestClass>();
  readonly #demand = new Map<string, Resources>();
  readonly #counts = new Map<string, number>();

  /** Number of waiting requests. */
  public get size(): number {
    return this.#classOf.size;
  }

  /** Declared size of waiting work per team. */
  public get demand(): ReadonlyMap<string, Resources> {
    return this.#demand;
  }

  /** Teams with waiting work. */
  public get teams(): IterableIterator<string> {
    return this.#teams.keys();
  }

  /**
   * Counts the waiting requests of a team.
   *
   * @param team - name of the team
   * @returns the number of requests
   */
  public countTeam(team: string): number {
    return this.#counts.get(team) ?? 0;
  }

  /**
   * Adds a request.
   *
   * @param record - the request
   */
  public add(record: RequestRecord): void {
    if (this.#classOf.has(record)) return;
    const { team, size, tasks } = record.request;
    const classes = this.#teams.get(team) ?? new Map<string, RequestClass>();
    this.#teams.set(team, classes);
    const name = nameClass(record);
    const group = classes.get(name) ?? new RequestClass(name, record);
    classes.set(name, group);
    group.add(record);
    this.#classOf.set(record, group);
    this.#counts.set(team, this.countTeam(team) + 1);
    const demand = this.#demand.get(team) ?? zeroResources;
    this.#demand.set(team, addResources(demand, scaleResources(size, tasks)));
  }

  /**
   * Removes a request.
   *
   * @param record - the request
   */
  public remove(record: RequestRecord): void {
    const group = this.#classOf.get(record);
    if (group === undefined) return;
    const { team, size, tasks } = record.request;
    this.#classOf.delete(record);
    group.remove(record);
    this.#counts.set(team, this.countTeam(team) - 1);
    const demand = this.#demand.get(team) ?? zeroResources;
    this.#demand.set(team, subtractResources(demand, scaleResources(size, tasks)));
    if (group.size > 0) return;
    const classes = this.#teams.get(team);
    classes?.delete(group.name);
    if (classes?.size === 0) {
      this.#teams.delete(team);
      this.#demand.delete(team);
    }
  }

  /**
   * Lists the classes of a team.
   *
   * @param team - name of the team
   * @returns the classes in the order of their creation
   */
  public listClasses(team: string): readonly RequestClass[] {
    return [...(this.#teams.get(team)?.values() ?? [])];
  }

  /**
   * Lists all waiting requests.
   *
   * @returns the requests in the order of their arrival
   */
  public list(): readonly RequestRecord[] {
    return [...this.#classOf.keys()];
  }
}
