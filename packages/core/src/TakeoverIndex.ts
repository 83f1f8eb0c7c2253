import type { DataCentreDeclaration, Takeover, Takeovers } from '@toucanline/schema';

/**
 * Time during which an operator's declaration is in effect. Without a bound, a declaration that could not be
 * carried out would cause a takeover at the next failover, when it may no longer be true.
 */
const declarationValidityMs = 600_000;

/** Record before the first takeover. */
const emptyTakeovers: Takeovers = { token: 'none', declarations: {}, takeovers: [] };

/** Index of the record of takeovers: work of lost or cut-off data centres that other ones took over. */
export class TakeoverIndex {
  /** Version of the record in the store; 0 if there is none. */
  public readonly version: number;
  readonly #record: Takeovers;
  readonly #transfers = new Map<string, { readonly from: string; readonly to: string }>();

  /**
   * @param record - record in the store
   * @param version - its version in the store
   */
  public constructor(record: Takeovers = emptyTakeovers, version = 0) {
    this.version = version;
    this.#record = record;
    for (const { shard, requests } of record.takeovers) {
      for (const [id, to] of Object.entries(requests)) this.#transfers.set(id, { from: shard, to });
    }
  }

  /** The indexed record. */
  public get record(): Takeovers {
    return this.#record;
  }

  /**
   * Finds the shard that a request was assigned to by a takeover.
   *
   * @param requestId - identifier of the request
   * @returns name of the shard; undefined if the request was not taken over
   */
  public findSuccessor(requestId: string): string | undefined {
    return this.#transfers.get(requestId)?.to;
  }

  /**
   * Checks whether a request was taken over by another shard.
   *
   * @param requestId - identifier of the request
   * @param shard - shard that may have had it
   * @returns true if the shard must not run it
   */
  public isTakenOverFrom(requestId: string, shard: string): boolean {
    const transfer = this.#transfers.get(requestId);
    return transfer !== undefined && transfer.to !== shard;
  }

  /**
   * Finds the declaration about a data centre.
   *
   * @param dataCentre - name of the data centre
   * @returns the newest declaration; undefined if there is none
   */
  public findDeclaration(dataCentre: string): DataCentreDeclaration | undefined {
    return this.#record.declarations[dataCentre];
  }

  /**
   * Checks whether an operator declared a data centre lost and the work of a shard has not been taken over yet
   * because of this declaration.
   *
   * @param dataCentre - data centre of the shard
   * @param shard - name of the shard
   * @param wallMs - wall-clock time in milliseconds since the Unix epoch
   * @returns true if the work has to be taken over; false once the declaration is too old
   */
  public isPending(dataCentre: string, shard: string, wallMs: number): boolean {
    const declaration = this.findDeclaration(dataCentre);
    if (declaration?.state !== 'lost' || wallMs - declaration.atMs > declarationValidityMs)
      return false;
    return !declaration.taken.includes(shard);
  }

  /**
   * Finds the newest takeover that covers a request of a shard.
   *
   * @param shard - shard that held the request
   * @param queue - queue of the request
   * @param heldEpoch - epoch of the owner that held it
   * @returns the takeover; undefined if none covers the request
   */
  public findTakeover(shard: string, queue: string, heldEpoch: number): Takeover | undefined {
    return this.#record.takeovers.findLast(
      (each) =>
        each.shard === shard &&
        each.epoch > heldEpoch &&
        (each.queues === undefined || each.queues.includes(queue)),
    );
  }

  /**
   * Lists the takeovers with requests that were assigned to a shard and are not in its own journal yet.
   *
   * @param shard - name of the shard
   * @returns the takeovers
   */
  public listPendingInheritances(shard: string): readonly Takeover[] {
    return this.#record.takeovers.filter(
      ({ requests, inheritedBy }) =>
        !inheritedBy.includes(shard) && Object.values(requests).includes(shard),
    );
  }

  /**
   * Finds the owner whose work was taken over under a claim.
   *
   * @param shard - name of the shard
   * @param epoch - epoch of the claim
   * @returns epoch of the owner that lost the work; undefined if the claim is not that of a takeover
   */
  public findFormerEpoch(shard: string, epoch: number): number | undefined {
    return this.#record.takeovers.find((each) => each.shard === shard && each.epoch === epoch)
      ?.formerEpoch;
  }

  /**
   * Lists the queues of a shard whose work was taken over from one owner.
   *
   * @param shard - name of the shard
   * @param formerEpoch - epoch of the owner
   * @returns names of the queues; undefined if all queues were taken over
   */
  public listTakenOverQueues(shard: string, formerEpoch: number): ReadonlySet<string> | undefined {
    const queues = new Set<string>();
    for (const each of this.#record.takeovers) {
      if (each.shard !== shard || each.formerEpoch !== formerEpoch) continue;
      if (each.queues === undefined) return undefined;
      for (const queue of each.queues) queues.add(queue);
    }
    return queues;
  }
}
