import { createRestoredRecord, type Clock, type RequestRecord } from '@toucanline/core';
import type { HandoverCall, ShardSnapshot } from '@toucanline/schema';

/** What the owner of the epoch before handed over. */
interface TransferredState {
  /** Open requests and worker reports. */
  readonly snapshot: ShardSnapshot;
  /** Finished requests. */
  readonly finished: readonly RequestRecord[];
}

/**
 * Collects the parts of a snapshot that the owner of a shard hands over. Records of finished requests are
 * created as the parts arrive, because the former owner still serves then.
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

  /** Epoch and owner of a complete snapshot that was not taken yet, and whether its claim was confirmed. */
  public get completeSnapshot():
    (Pick<ShardSnapshot, 'epoch' | 'owner'> & { claimed: boolean }) | undefined {
    if (!this.#isComplete || this.#latestPart === undefined) return undefined;
    const { epoch, owner } = this.#latestPart;
    return { epoch, owner, claimed: this.#isClaimConfirmed };
  }

  /**
   * Adds a part. A part of another epoch begins a new snapshot.
   *
   * @param call - the part
   * @returns true if the snapshot is complete
   */
  public addPart({ snapshot, last, claimed }: HandoverCall): boolean {
    if (this.#isComplete || this.#latestPart?.epoch !== snapshot.epoch) this.#clear();
    const now = this.#clock.now();
    for (const held of snapshot.requests) {
      if (held.view === undefined || held.cancelled === true) this.#openRequests.push(held);
      else this.#finishedRequests.push(createRestoredRecord(held, now));
    }
    this.#reports.push(...snapshot.reports);
    this.#latestPart = snapshot;
    this.#isComplete = last;
    this.#isClaimConfirmed = claimed;
    return last;
  }

  /**
   * Takes the snapshot. It counts only if no other owner acted in between.
   *
   * @param epoch - epoch of the new ownership
   * @returns the snapshot, if it is complete and of the epoch before
   */
  public take(epoch: number): TransferredState | undefined {
    const last =
      this.#isComplete && this.#latestPart?.epoch === epoch - 1 ? this.#latestPart : undefined;
    const inheritance =
      last === undefined
        ? undefined
        : {
            snapshot: { ...last, requests: this.#openRequests, reports: this.#reports },
            finished: this.#finishedRequests,
          };
    this.#clear();
    return inheritance;
  }

  #clear(): void {
    this.#latestPart = undefined;
    this.#openRequests = [];
    this.#reports = [];
    this.#finishedRequests = [];
    this.#isComplete = false;
  }
}
