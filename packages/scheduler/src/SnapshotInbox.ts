import type { HandoverCall, ShardSnapshot } from '@toucanline/schema';

/** Collects the parts of a snapshot that the owner of a shard hands over. */
export class SnapshotInbox {
  #parts: ShardSnapshot | undefined;
  #complete = false;

  /**
   * Adds a part. A part of another epoch begins a new snapshot.
   *
   * @param call - the part
   * @returns true if the snapshot is complete
   */
  public add({ snapshot, last }: HandoverCall): boolean {
    const known = this.#complete || this.#parts?.epoch !== snapshot.epoch ? undefined : this.#parts;
    this.#parts = {
      ...snapshot,
      requests: [...(known?.requests ?? []), ...snapshot.requests],
      reports: [...(known?.reports ?? []), ...snapshot.reports],
    };
    this.#complete = last;
    return last;
  }

  /**
   * Takes the snapshot. It counts only if no other owner acted in between.
   *
   * @param epoch - epoch of the new ownership
   * @returns the snapshot, if it is complete and of the epoch before
   */
  public take(epoch: number): ShardSnapshot | undefined {
    const snapshot = this.#complete && this.#parts?.epoch === epoch - 1 ? this.#parts : undefined;
    this.#parts = undefined;
    this.#complete = false;
    return snapshot;
  }
}
