import { EventOutbox } from '@toucanline/core';
import type { Link } from '@toucanline/wire';
import { hashText } from './hashText.js';
import type { ProcessRuntime } from './ProcessRuntime.js';

/** Time for which events are collected, in milliseconds. A killed process loses the events of this time. */
const batchDelayMs = 200;
/** Delay before the next attempt if no peer was reachable, in milliseconds. */
const retryDelayMs = 1000;
/** Number of peers that keep each event, so that the events survive the loss of one peer. */
const replicaCount = 2;

/** Replicates the events of this process to peers in its data centre, which keep them in case the process is killed. */
export class EventReplicator {
  readonly #runtime: ProcessRuntime;
  readonly #listLinks: () => readonly Link[];
  readonly #outbox: EventOutbox;
  #isSending = false;
  #isStopped = false;

  /**
   * @param runtime - runtime of the process
   * @param listLinks - lists the open links
   */
  public constructor(runtime: ProcessRuntime, listLinks: () => readonly Link[]) {
    this.#runtime = runtime;
    this.#listLinks = listLinks;
    this.#outbox = new EventOutbox(() => runtime.recorder.stamp());
  }

  /** Starts to replicate new events of the process. */
  public start(): void {
    this.#runtime.eventStream.on('events', (events) => {
      this.#outbox.add(events, this.#runtime.clock.now());
      if (!this.#isSending && this.#outbox.hasPending) void this.#sendUntilEmpty();
    });
  }

  /** Sends the pending events; later events are not replicated. */
  public stop(): void {
    this.#sendBatch();
    this.#isStopped = true;
  }

  /** Sends batches until the outbox is empty, so that no timer runs while there is nothing to send. */
  async #sendUntilEmpty(): Promise<void> {
    this.#isSending = true;
    let delayMs = batchDelayMs;
    try {
      while (this.#outbox.hasPending && !this.#isStopped) {
        await this.#runtime.clock.sleep(delayMs);
        this.#sendBatch();
        delayMs = retryDelayMs;
      }
    } finally {
      this.#isSending = false;
    }
  }

  /** Sends a batch to the chosen peers. Without a peer the events stay in the outbox, which is bounded. */
  #sendBatch(): void {
    if (this.#isStopped) return;
    const peers = this.#choosePeers();
    if (peers.length === 0) return;
    const notice = this.#outbox.takeNotice(this.#runtime.clock.now());
    if (notice === undefined) return;
    const isSent = peers.map((link) => link.notify(notice));
    if (!isSent.includes(true)) this.#outbox.countDropped(notice);
  }

  /** Chooses peers, schedulers before entries, in an order that is stable and differs between processes. */
  #choosePeers(): readonly Link[] {
    const { process: ownProcess, dataCentre } = this.#runtime.settings;
    const links = new Map<string, Link>();
    for (const link of this.#listLinks()) {
      const { peer, isClosed } = link;
      if (isClosed || peer?.dataCentre !== dataCentre || peer.process === ownProcess) continue;
      // Two schedulers dial each other, so there may be two links to one process.
      links.set(
        `${peer.role === 'scheduler' ? 0 : 1} ${hashText(`${ownProcess} ${peer.process}`)}`,
        link,
      );
    }
    const orderedLinks = [...links].sort(([left], [right]) => (left < right ? -1 : 1));
    return orderedLinks.slice(0, replicaCount).map(([, link]) => link);
  }
}
