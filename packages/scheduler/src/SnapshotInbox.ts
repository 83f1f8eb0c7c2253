import { createRestoredRecord, type Clock, type RequestRecord } from '@toucanline/core';
import type { HandoverCall, ShardSnapshot } from '@toucanline/schema';

/** What the owner of the epoch before handed over. */
interface Inheritance {
  /** Open requests and worker reports. */
  readonly snapshot: ShardSnapshot;
  /** Finished requests. */
  readonly finished: readonly RequestRecord[];
}

/**
 * Collects the parts of a snapshot that the owner of a shard hands over. Records of finished requests are
 * created as the parts arrive, because the former owner still serves then.
 */
export class SnapshotInbox {
  readonly #clock: Clock;
  #last: ShardSnapshot | undefined;
  #requests: ShardSnapshot['requests'][number][] = [];
  #reports: ShardSnapshot['reports'][number][] = [];
  #finished: RequestRecord[] = [];
  #complete = false;
  #claimed = false;

  /** @param clock - source of time */
  public constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Epoch and owner of a complete snapshot that was not taken yet, and whether its claim was confirmed. */
  public get complete():
    (Pick<ShardSnapshot, 'epoch' | 'owner'> & { claimed: boolean }) | undefined {
    if (!this.#complete || this.#last === undefined) return undefined;
    const { epoch, owner } = this.#last;
    return { epoch, owner, claimed: this.#claimed };
  }

  /**
   * Adds a part. A part of another epoch begins a new snapshot.
   *
   * @param call - the part
   * @returns true if the snapshot is complete
   */
  public add({ snapshot, last, claimed }: HandoverCall): boolean {
    if (this.#complete || this.#last?.epoch !== snapshot.epoch) this.#clear();
    const now = this.#clock.now();
    for (const held of snapshot.requests) {
      if (held.view === undefined || held.cancelled === true) this.#requests.push(held);
      else this.#finished.push(createRestoredRecord(held, now));
    }
    this.#reports.push(...snapshot.reports);
    this.#last = snapshot;
    this.#complete = last;
    this.#claimed = claimed;
    return last;
  }

  /**
   * Takes the snapshot. It counts only if no other owner acted in between.
   *
   * @param epoch - epoch of the new ownership
   * @returns the snapshot, if it is complete and of the epoch before
   */
  public take(epoch: number): Inheritance | undefined {
    const last = this.#complete && this.#last?.epoch === epoch - 1 ? this.#last : undefined;
    const inheritance =
      last === undefined
        ? undefined
        : {
            snapshot: { ...last, requests: this.#requests, reports: this.#reports },
            finished: this.#finished,
          };
    this.#clear();
    return inheritance;
  }

  #clear(): void {
    this.#last = undefined;
    this.#requests = [];
    this.#reports = [];
    this.#finished = [];
    this.#complete = false;
  }
}
