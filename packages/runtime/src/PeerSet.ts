import { createFailure, validateValue } from '@toucanline/core';
import {
  validators,
  type CallBody,
  type Failure,
  type Hello,
  type NoticeBody,
  type ReplyBody,
} from '@toucanline/schema';
import { LinkDialer, LinkHandler, type Link } from '@toucanline/wire';
import { err, type Result } from 'neverthrow';
import type { ProcessRuntime } from './ProcessRuntime.js';

const refreshMs = 1000;
const configurationTimeoutMs = 2000;

/** Keeps links to the schedulers that settings and host list name, and learns revisions from them. */
export class PeerSet extends LinkHandler {
  readonly #runtime: ProcessRuntime;
  readonly #handler: LinkHandler;
  readonly #ownAddress: string | undefined;
  readonly #dialers = new Map<string, LinkDialer>();
  readonly #fetching = new Set<Link>();
  #listed: ReadonlySet<string> = new Set();
  #stopped = false;

  /**
   * @param runtime - the process
   * @param handler - takes calls and notices
   * @param ownAddress - link address of this process, which it does not dial
   */
  public constructor(runtime: ProcessRuntime, handler: LinkHandler, ownAddress?: string) {
    super();
    this.#runtime = runtime;
    this.#handler = handler;
    this.#ownAddress = ownAddress;
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
    void this.#refresh();
  }

  /** Closes all links. */
  public stop(): void {
    this.#stopped = true;
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
    void this.learnRevisions(link, body);
    this.#handler.handleNotice(link, body);
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
  public async learnRevisions(link: Link, notice: NoticeBody): Promise<void> {
    const { clock, holder, keyRing, keysContact, recorder } = this.#runtime;
    if (notice.stamp !== undefined) recorder.observe(notice.stamp);
    const isCurrent = notice.keysRevision <= keyRing.revision;
    if (notice.keysAgeMs !== undefined && isCurrent) keysContact.confirm(notice.keysAgeMs);
    const isNewer =
      notice.configurationRevision > holder.revision || notice.keysRevision > keyRing.revision;
    if (!isNewer || this.#fetching.has(link)) return;
    this.#fetching.add(link);
    const askedAt = clock.now();
    const reply = await link.call(
      {
        call: 'configuration',
        configurationRevision: holder.revision,
        keysRevision: keyRing.revision,
      },
      configurationTimeoutMs,
    );
    this.#fetching.delete(link);
    if (reply.isErr() || reply.value.reply !== 'configuration') return;
    const { configuration, keys } = reply.value;
    if (configuration !== undefined) holder.apply(configuration);
    if (keys !== undefined && validateValue(validators.KeyList, keys).isOk()) keyRing.apply(keys);
    const isNowCurrent = notice.keysRevision <= keyRing.revision;
    if (notice.keysAgeMs === undefined || isCurrent || !isNowCurrent) return;
    keysContact.confirm(notice.keysAgeMs + clock.now() - askedAt);
  }

  async #refresh(): Promise<void> {
    while (!this.#stopped) {
      const hosts = await this.#runtime.hostList.read();
      if (hosts.isOk()) {
        const schedulers = hosts.value.filter(({ role }) => role === 'scheduler');
        this.#applyList(new Set(schedulers.map(({ address }) => address)));
      }
      await this.#runtime.clock.sleep(refreshMs);
    }
  }

  /** Dials new addresses; forgets those that left the list and cannot be reached. */
  #applyList(listed: ReadonlySet<string>): void {
    for (const address of listed) this.#dial(address);
    for (const address of this.#listed) {
      const dialer = this.#dialers.get(address);
      if (listed.has(address) || dialer?.link !== undefined) continue;
      dialer?.stop();
      this.#dialers.delete(address);
    }
    this.#listed = listed;
  }

  #dial(address: string): void {
    const isOwnOrKnown = address === this.#ownAddress || this.#dialers.has(address);
    if (this.#stopped || isOwnOrKnown) return;
    this.#dialers.set(address, new LinkDialer(address, this.#runtime.hello, this));
  }
}
