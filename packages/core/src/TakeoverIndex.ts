import type { DataCentreDeclaration, Takeover, Takeovers } from '@toucanline/schema';

/**
 * Time within which an operator's declaration is carried out. Without a bound, a declaration that nobody could carry out
 * would take work over at the next failover, when it is not true any more.
 */
const declarationMs = 600_000;

/** The record before anything was taken over. */
const emptyTakeovers: Takeovers = { token: 'none', declarations: {}, takeovers: [] };

/** Answers questions about what passed from lost or cut-off data centres to others. */
export class TakeoverIndex {
  /** Version of the record in the store; 0 if there is none. */
  public readonly version: number;
  readonly #record: Takeovers;
  readonly #transfers = new Map<string, { readonly from: string; readonly to: string }>();

  /**
   * @param record - the record in the store
   * @param version - its version
   */
  public constructor(record: Takeovers = emptyTakeovers, version = 0) {
    this.version = version;
    this.#record = record;
    for (const { shard, requests } of record.takeovers) {
      for (const [id, to] of Object.entries(requests)) this.#transfers.set(id, { from: shard, to });
    }
  }

  /** The record itself. */
  public get record(): Takeovers {
    return this.#record;
  }

  /**
   * Finds the shard that has a request now.
   *
   * @param requestId - identifier of the request
   * @returns name of the shard; undefined if the request was not taken over
   */
  public findSuccessor(requestId: string): string | undefined {
    return this.#transfers.get(requestId)?.to;
  }

  /**
   * Checks whether a request passed from a shard to another one.
   *
   * @param requestId - identifier of the request
   * @param shard - shard that may have had it
   * @returns true if the shard must not run it
   */
  public isTakenOverFrom(requestId: string, shard: string): boolean {
    const place = this.#transfers.get(requestId);
    return place !== undefined && place.to !== shard;
  }

  /**
   * Finds the declaration about a data centre.
   *
   * @param dataCentre - name of the data centre
   * @returns the newest declaration, if there is any
   */
  public findDeclaration(dataCentre: string): DataCentreDeclaration | undefined {
    return this.#record.declarations[dataCentre];
  }

  /**
   * Checks whether an operator declared a data centre lost and the work of a shard was not taken over
   * under that declaration yet.
   *
   * @param dataCentre - data centre of the shard
   * @param shard - name of the shard
   * @param wallMs - wall time in milliseconds
   * @returns true if the work has to be taken over
   */
  public isPending(dataCentre: string, shard: string, wallMs: number): boolean {
    const declaration = this.findDeclaration(dataCentre);
    if (declaration?.state !== 'lost' || wallMs - declaration.atMs > declarationMs) return false;
    return !declaration.taken.includes(shard);
  }

  /**
   * Finds the takeover that covers a request which a shard held.
   *
   * @param shard - shard that held the request
   * @param queue - queue of the request
   * @param heldEpoch - epoch of the owner that held it
   * @returns the newest takeover that covers it, if any
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
   * Lists what a shard was given and does not have in its own journal yet.
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
   * Checks whether the last change of a shard's epoch was made by a takeover.
   *
   * @param shard - name of the shard
   * @param epoch - epoch of its claim
   * @returns epoch of the owner that lost the work; undefined if the claim is an owner's
   */
  public findFormerEpoch(shard: string, epoch: number): number | undefined {
    return this.#record.takeovers.find((each) => each.shard === shard && each.epoch === epoch)
      ?.formerEpoch;
  }

  /**
   * Lists the queues of an owner's shard that were taken over already.
   *
   * @param shard - name of the shard
   * @param formerEpoch - epoch of the owner
   * @returns names of the queues; undefined stands for all
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
