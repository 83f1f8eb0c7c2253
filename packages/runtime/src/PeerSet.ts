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
/** Age of the key list above which peers are asked whether it is still the newest, in milliseconds. */
const maxKeyListAgeMs = 2500;
/** Number of peers that are asked at a time. */
const maxQueriedPeers = 3;

/** Revisions of the configuration and of the key list that a peer announced. */
interface PeerRevisions {
  readonly configurationRevision: number;
  readonly keysRevision: number;
}

/** Maintains links to the schedulers named in the settings and the host list, and fetches newer revisions from them. */
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
   * @param runtime - runtime of the process
   * @param handler - handles calls and notices
   * @param ownAddress - link address of this process, which is not dialled
   * @param handleHosts - called after each read of the host list
   */
  public constructor(
    runtime: ProcessRuntime,
    handler: LinkHandler,
    ownAddress?: string,
    handleHosts: (hosts: readonly HostRecord[]) => void = () => undefined,
  ) {
    super();
    this.#runtime = runtime;
    this.#handler = handler;
    this.#ownAddress = ownAddress;
    this.#handleHosts = handleHosts;
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

  /** Starts to poll the host list. */
  public start(): void {
    void this.#refreshPeers();
  }

  /** Closes all links and stops polling the host list. */
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
   * @returns the reply; `noOwner` if there is no open link, so that nothing was sent; or the failure of the call
   */
  public call(
    address: string,
    body: CallBody,
    timeoutMs: number,
  ): Promise<Result<ReplyBody, Failure>> {
    const link = this.#dialers.get(address)?.link;
    if (link !== undefined) return link.call(body, timeoutMs);
    this.#dial(address);
    return Promise.resolve(err(createFailure('noOwner', `no open link to ${address}`)));
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
   * Fetches configuration and keys from a peer if its notice announces newer revisions.
   *
   * @param link - link to the peer
   * @param notice - load notice of the peer
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
    const announced = this.#peerRevisions.get(link);
    if (announced === undefined) return;
    const isNewer =
      announced.configurationRevision > configurationHolder.revision ||
      announced.keysRevision > keyRing.revision;
    if (isNewer) await this.#fetch(link);
  }

  async #fetch(link: Link): Promise<void> {
    const { clock, configurationHolder, keyRing, keyListAge } = this.#runtime;
    if (this.#pendingFetches.has(link)) return;
    this.#pendingFetches.add(link);
    const requestedAt = clock.now();
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
    const isValidKeyList = keys === undefined || validateValue(validators.KeyList, keys).isOk();
    if (keys !== undefined && isValidKeyList) keyRing.apply(keys);
    const elapsedMs = clock.now() - requestedAt;
    if (keysAgeMs !== undefined && isValidKeyList) keyListAge.confirm(keysAgeMs + elapsedMs);
  }

  /** Retries failed fetches, because a peer announces a revision only once. */
  #retryFetches(): void {
    for (const link of this.#peerRevisions.keys()) {
      if (link.isClosed) this.#peerRevisions.delete(link);
      else void this.#fetchIfNewer(link);
    }
  }

  /** Asks random peers whether the key list is still the newest; they may know it while the store is unreachable. */
  #refreshKeyListAge(): void {
    const { keyListAge, random } = this.#runtime;
    if (keyListAge.ageMs <= maxKeyListAgeMs) return;
    const { links } = this;
    const firstIndex = Math.floor(random.next() * links.length);
    for (let count = 0; count < Math.min(maxQueriedPeers, links.length); count += 1) {
      const link = links[(firstIndex + count) % links.length];
      if (link !== undefined) void this.#fetch(link);
    }
  }

  /** Reads the host list, retries fetches and refreshes the age of the key list once a second. */
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

  /** Dials new addresses, and removes addresses that left the list and have no open link. */
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
