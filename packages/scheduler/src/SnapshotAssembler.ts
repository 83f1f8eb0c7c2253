import { createRestoredRecord, type Clock, type RequestRecord } from '@toucanline/core';
import type { HandoverCall, ShardSnapshot } from '@toucanline/schema';

/** State that the owner of the previous epoch handed over. */
interface TransferredState {
  /** Snapshot with the open requests and the reports of workers. */
  readonly snapshot: ShardSnapshot;
  /** Records of finished requests. */
  readonly finishedRequests: readonly RequestRecord[];
}

/**
 * Assembles the snapshot that the owner of a shard hands over in parts. Records of finished requests are created as
 * the parts arrive, while the previous owner still serves.
 */
export class SnapshotAssembler {
  readonly #clock: Clock;
  #latestPart: ShardSnapshot | undefined;
  #openRequests: ShardSnapshot['requests'][number][] = [];
  #reports: ShardSnapshot['reports'][number][] = [];
  #finishedRequests: RequestRecord[] = [];
  #isComplete = false;
  #isClaimConfirmed = false;

  /** @param clock - source of time */
  public constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Epoch, owner and claim confirmation of a complete snapshot that was not taken yet; undefined if there is none.
   */
  public get completeSnapshot():
    (Pick<ShardSnapshot, 'epoch' | 'owner'> & { claimed: boolean }) | undefined {
    if (!this.#isComplete || this.#latestPart === undefined) return undefined;
    const { epoch, owner } = this.#latestPart;
    return { epoch, owner, claimed: this.#isClaimConfirmed };
  }

  /**
   * Adds a part. A part of another epoch, or one after a complete snapshot, starts a new snapshot.
   *
   * @param call - handover call with the part
   * @returns true if the snapshot is complete
   */
  public addPart({ snapshot, last, claimed }: HandoverCall): boolean {
    if (this.#isComplete || this.#latestPart?.epoch !== snapshot.epoch) this.#clear();
    const now = this.#clock.now();
    for (const request of snapshot.requests) {
      if (request.view === undefined || request.cancelled === true)
        this.#openRequests.push(request);
      else this.#finishedRequests.push(createRestoredRecord(request, now));
    }
    this.#reports.push(...snapshot.reports);
    this.#latestPart = snapshot;
    this.#isComplete = last;
    this.#isClaimConfirmed = claimed;
    return last;
  }

  /**
   * Removes the snapshot and returns it if it is usable, which it is only if no other owner can have acted in
   * between.
   *
   * @param epoch - epoch of the new ownership
   * @returns the state, if the snapshot is complete and of the previous epoch
   */
  public take(epoch: number): TransferredState | undefined {
    const last =
      this.#isComplete && this.#latestPart?.epoch === epoch - 1 ? this.#latestPart : undefined;
    const transferred =
      last === undefined
        ? undefined
        : {
            snapshot: { ...last, requests: this.#openRequests, reports: this.#reports },
            finishedRequests: this.#finishedRequests,
          };
    this.#clear();
    return transferred;
  }

  #clear(): void {
    this.#latestPart = undefined;
    this.#openRequests = [];
    this.#reports = [];
    this.#finishedRequests = [];
    this.#isComplete = false;
  }
}
