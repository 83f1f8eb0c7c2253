import { EventOutbox } from '@toucanline/core';
import type { Link } from '@toucanline/wire';
import { hashText } from './hashText.js';
import type { ProcessRuntime } from './ProcessRuntime.js';

/** Time for which events are collected: what a killed process recorded within it is lost. */
const batchDelayMs = 200;
/** Time after which a process without a peer looks for one again. */
const retryDelayMs = 1000;
/** Peers that keep the events, so that these outlast one of them. */
const replicaCount = 2;

/** Hands newer events of this process to peers of its data centre, which keep them in case it is killed. */
export class EventReplicator {
  readonly #runtime: ProcessRuntime;
  readonly #listLinks: () => readonly Link[];
  readonly #outbox: EventOutbox;
  #isSending = false;
  #isStopped = false;

  /**
   * @param runtime - the process
   * @param listLinks - lists open links
   */
  public constructor(runtime: ProcessRuntime, listLinks: () => readonly Link[]) {
    this.#runtime = runtime;
    this.#listLinks = listLinks;
    this.#outbox = new EventOutbox(() => runtime.recorder.stamp());
  }

  /** Starts to follow the events of the process. */
  public start(): void {
    this.#runtime.eventStream.on('events', (events) => {
      this.#outbox.add(events, this.#runtime.clock.now());
      if (!this.#isSending && this.#outbox.hasPending) void this.#sendUntilEmpty();
    });
  }

  /** Hands over what waits; later events are not handed over. */
  public stop(): void {
    this.#sendBatch();
    this.#isStopped = true;
  }

  /** Nothing wakes the process while there is nothing to hand over. */
  async #sendUntilEmpty(): Promise<void> {
    this.#isSending = true;
    let delayMs = batchDelayMs;
    while (this.#outbox.hasPending && !this.#isStopped) {
      await this.#runtime.clock.sleep(delayMs);
      this.#sendBatch();
      delayMs = retryDelayMs;
    }
    this.#isSending = false;
  }

  /** Without a peer the events stay in the outbox, which is bounded. */
  #sendBatch(): void {
    if (this.#isStopped) return;
    const peers = this.#choosePeers();
    if (peers.length === 0) return;
    const notice = this.#outbox.takeNotice(this.#runtime.clock.now());
    if (notice === undefined) return;
    const isSent = peers.map((link) => link.notify(notice));
    if (!isSent.includes(true)) this.#outbox.countDropped(notice);
  }

  /** Chooses schedulers before entries, in an order that is stable and differs between processes. */
  #choosePeers(): readonly Link[] {
    const { process: own, dataCentre } = this.#runtime.settings;
    const links = new Map<string, Link>();
    for (const link of this.#listLinks()) {
      const { peer, isClosed } = link;
      if (isClosed || peer?.dataCentre !== dataCentre || peer.process === own) continue;
      // Two schedulers dial each other, so there may be two links to one process.
      links.set(`${peer.role === 'scheduler' ? 0 : 1} ${hashText(`${own} ${peer.process}`)}`, link);
    }
    const ordered = [...links].sort(([left], [right]) => (left < right ? -1 : 1));
    return ordered.slice(0, replicaCount).map(([, link]) => link);
  }
}
