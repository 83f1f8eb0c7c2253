import { createFailure, validateValue } from '@toucanline/core';
import {
  validators,
  type CallBody,
  type Failure,
  type Hello,
  type HostRecord,
  type LoadNotice,
  type NoticeBody,
  type ReplyBody,
} from '@toucanline/schema';
import { LinkDialer, LinkHandler, type Link } from '@toucanline/wire';
import { err, type Result } from 'neverthrow';
import type { ProcessRuntime } from './ProcessRuntime.js';

const refreshIntervalMs = 1000;
const configurationTimeoutMs = 2000;
/** Age of the last contact of the key list from which peers are asked for theirs, and how many at a time. */
const maxKeyListAgeMs = 2500;
const maxQueriedPeers = 3;

/** Revisions that a peer told. */
interface PeerRevisions {
  readonly configurationRevision: number;
  readonly keysRevision: number;
}

/** Keeps links to the schedulers that settings and host list name, and learns revisions from them. */
export class PeerSet extends LinkHandler {
  readonly #runtime: ProcessRuntime;
  readonly #handler: LinkHandler;
  readonly #ownAddress: string | undefined;
  readonly #handleHosts: (hosts: readonly HostRecord[]) => void;
  readonly #dialers = new Map<string, LinkDialer>();
  readonly #pendingFetches = new Set<Link>();
  readonly #peerRevisions = new Map<Link, PeerRevisions>();
  #listedAddresses: ReadonlySet<string> = new Set();
  #isStopped = false;

  /**
   * @param runtime - the process
   * @param handler - takes calls and notices
   * @param ownAddress - link address of this process, which it does not dial
   * @param onHosts - called after each read of the host list
   */
  public constructor(
    runtime: ProcessRuntime,
    handler: LinkHandler,
    ownAddress?: string,
    onHosts: (hosts: readonly HostRecord[]) => void = () => undefined,
  ) {
    super();
    this.#runtime = runtime;
    this.#handler = handler;
    this.#ownAddress = ownAddress;
    this.#handleHosts = onHosts;
    for (const address of runtime.settings.peers ?? []) this.#dial(address);
  }

  /** Open links. */
  public get links(): readonly Link[] {
    return [...this.#dialers.values()].flatMap(({ link }) => (link === undefined ? [] : [link]));
  }

  /** Known addresses without an open link. */
  public get unreachable(): readonly string[] {
    return [...this.#dialers.values()].filter(({ link }) => !link).map(({ address }) => address);
  }

  /** Starts to follow the host list. */
  public start(): void {
    void this.#refreshPeers();
  }

  /** Closes all links. */
  public stop(): void {
    this.#isStopped = true;
    for (const dialer of this.#dialers.values()) dialer.stop();
  }

  /**
   * Calls the peer at an address.
   *
   * @param address - link address of the peer
   * @param body - the call
   * @param timeoutMs - longest wait for the reply, in milliseconds
   * @returns the reply; `noOwner` if there is no open link, so that nothing was sent
   */
  public call(
    address: string,
    body: CallBody,
    timeoutMs: number,
  ): Promise<Result<ReplyBody, Failure>> {
    const link = this.#dialers.get(address)?.link;
    if (link !== undefined) return link.call(body, timeoutMs);
    this.#dial(address);
    return Promise.resolve(err(createFailure('noOwner', `no link to ${address}`)));
  }

  /** {@inheritDoc LinkHandler.handleOpen} */
  public override handleOpen(link: Link, hello: Hello): void {
    if (hello.environment !== this.#runtime.settings.environment) {
      link.close(`the peer belongs to environment ${hello.environment}`);
      return;
    }
    this.#runtime.recorder.record('linkOpened', { detail: hello.process });
    this.#handler.handleOpen(link, hello);
  }

  /** {@inheritDoc LinkHandler.handleCall} */
  public override handleCall(link: Link, body: CallBody): Promise<ReplyBody> {
    return this.#handler.handleCall(link, body);
  }

  /** {@inheritDoc LinkHandler.handleNotice} */
  public override handleNotice(link: Link, body: NoticeBody): void {
    if (body.notice === 'load') void this.applyRevisions(link, body);
    this.#handler.handleNotice(link, body);
  }

  /** {@inheritDoc LinkHandler.handleActivity} */
  public override handleActivity(link: Link): void {
    this.#handler.handleActivity(link);
  }

  /** {@inheritDoc LinkHandler.handleClose} */
  public override handleClose(link: Link, detail: string): void {
    this.#runtime.recorder.record('linkClosed', {
      detail: `${link.peer?.process ?? 'unknown peer'}: ${detail}`,
    });
    this.#handler.handleClose(link, detail);
  }

  /**
   * Asks a peer for configuration and keys if its notice names newer revisions.
   *
   * @param link - link to the peer
   * @param notice - its notice
   */
  public async applyRevisions(link: Link, notice: LoadNotice): Promise<void> {
    const { keyRing, keyListAge, recorder } = this.#runtime;
    if (notice.stamp !== undefined) recorder.observe(notice.stamp);
    const { configurationRevision, keysRevision, keysAgeMs } = notice;
    if (configurationRevision === undefined || keysRevision === undefined) return;
    this.#peerRevisions.set(link, { configurationRevision, keysRevision });
    if (keysAgeMs !== undefined && keysRevision <= keyRing.revision) keyListAge.confirm(keysAgeMs);
    await this.#fetchIfNewer(link);
  }

  async #fetchIfNewer(link: Link): Promise<void> {
    const { configurationHolder, keyRing } = this.#runtime;
    const told = this.#peerRevisions.get(link);
    if (told === undefined) return;
    const isNewer =
      told.configurationRevision > configurationHolder.revision ||
      told.keysRevision > keyRing.revision;
    if (isNewer) await this.#fetch(link);
  }

  async #fetch(link: Link): Promise<void> {
    const { clock, configurationHolder, keyRing, keyListAge } = this.#runtime;
    if (this.#pendingFetches.has(link)) return;
    this.#pendingFetches.add(link);
    const askedAt = clock.now();
    const reply = await link.call(
      {
        call: 'configuration',
        configurationRevision: configurationHolder.revision,
        keysRevision: keyRing.revision,
      },
      configurationTimeoutMs,
    );
    this.#pendingFetches.delete(link);
    if (reply.isErr() || reply.value.reply !== 'configuration') return;
    const { configuration, keys, keysAgeMs } = reply.value;
    if (configuration !== undefined) configurationHolder.apply(configuration);
    const isKeyList = keys === undefined || validateValue(validators.KeyList, keys).isOk();
    if (keys !== undefined && isKeyList) keyRing.apply(keys);
    const sinceAskedMs = clock.now() - askedAt;
    if (keysAgeMs !== undefined && isKeyList) keyListAge.confirm(keysAgeMs + sinceAskedMs);
  }

  /** Peers tell a revision once, so a fetch that failed is repeated here. */
  #retryFetches(): void {
    for (const link of this.#peerRevisions.keys()) {
      if (link.isClosed) this.#peerRevisions.delete(link);
      else void this.#fetchIfNewer(link);
    }
  }

  /** Without the store, peers may know that the key list is still the newest. */
  #refreshKeyListAge(): void {
    const { keyListAge, random } = this.#runtime;
    if (keyListAge.ageMs <= maxKeyListAgeMs) return;
    const { links } = this;
    const first = Math.floor(random.next() * links.length);
    for (let count = 0; count < Math.min(maxQueriedPeers, links.length); count += 1) {
      const link = links[(first + count) % links.length];
      if (link !== undefined) void this.#fetch(link);
    }
  }

  async #refreshPeers(): Promise<void> {
    while (!this.#isStopped) {
      const hosts = await this.#runtime.hostList.read();
      if (hosts.isOk()) {
        const schedulers = hosts.value.filter(({ role }) => role === 'scheduler');
        this.#applyHostList(new Set(schedulers.map(({ address }) => address)));
        this.#handleHosts(hosts.value);
      }
      this.#retryFetches();
      this.#refreshKeyListAge();
      await this.#runtime.clock.sleep(refreshIntervalMs);
    }
  }

  /** Dials new addresses; forgets those that left the list and cannot be reached. */
  #applyHostList(listed: ReadonlySet<string>): void {
    for (const address of listed) this.#dial(address);
    for (const address of this.#listedAddresses) {
      const dialer = this.#dialers.get(address);
      if (listed.has(address) || dialer?.link !== undefined) continue;
      dialer?.stop();
      this.#dialers.delete(address);
    }
    this.#listedAddresses = listed;
  }

  #dial(address: string): void {
    const isOwnOrKnown = address === this.#ownAddress || this.#dialers.has(address);
    if (this.#isStopped || isOwnOrKnown) return;
    this.#dialers.set(address, new LinkDialer(address, this.#runtime.hello, this));
  }
}
