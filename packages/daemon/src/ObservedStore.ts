import { MetadataStore } from '@toucanline/jobs';
import type { Failure } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import { hostTimes } from './hostTimes.js';
import type { StoreContact } from './StoreContact.js';

/** The store as a host uses it: the outcome of each call tells whether the store answers. */
export class ObservedStore extends MetadataStore {
  readonly #store: MetadataStore;
  readonly #contact: StoreContact;
  #stopped = false;

  /**
   * @param store - the store
   * @param contact - takes the outcomes
   */
  public constructor(store: MetadataStore, contact: StoreContact) {
    super();
    this.#store = store;
    this.#contact = contact;
  }

  /** Asks for signs of life until stopped: waiting watches tell only late that the store is away. */
  public async run(): Promise<void> {
    while (!this.#stopped) {
      await this.ping(hostTimes.pingTimeoutMs);
      await new Promise((resolve) => setTimeout(resolve, hostTimes.pingMs));
    }
  }

  /** Ends the signs of life. */
  public stop(): void {
    this.#stopped = true;
  }

  /** {@inheritDoc MetadataStore.read} */
  public override read(key: string): ReturnType<MetadataStore['read']> {
    return this.#observe(this.#store.read(key));
  }

  /** {@inheritDoc MetadataStore.ping} */
  public override async ping(timeoutMs: number): Promise<boolean> {
    const sentAt = performance.now();
    const isAnswered = await this.#store.ping(timeoutMs);
    this.#contact.note(isAnswered, sentAt);
    return isAnswered;
  }

  /** {@inheritDoc MetadataStore.list} */
  public override list(prefix: string): ReturnType<MetadataStore['list']> {
    return this.#observe(this.#store.list(prefix));
  }

  /** {@inheritDoc MetadataStore.watch} */
  public override watch(
    ...call: Parameters<MetadataStore['watch']>
  ): ReturnType<MetadataStore['watch']> {
    return this.#observe(this.#store.watch(...call));
  }

  /** {@inheritDoc MetadataStore.commit} */
  public override commit(
    transaction: Parameters<MetadataStore['commit']>[0],
  ): ReturnType<MetadataStore['commit']> {
    return this.#observe(this.#store.commit(transaction));
  }

  /** {@inheritDoc MetadataStore.grantLease} */
  public override grantLease(ttlMs: number): ReturnType<MetadataStore['grantLease']> {
    return this.#observe(this.#store.grantLease(ttlMs));
  }

  /** {@inheritDoc MetadataStore.renewLease} */
  public override renewLease(lease: number): ReturnType<MetadataStore['renewLease']> {
    return this.#observe(this.#store.renewLease(lease));
  }

  /** {@inheritDoc MetadataStore.endLease} */
  public override revokeLease(lease: number): ReturnType<MetadataStore['revokeLease']> {
    return this.#observe(this.#store.revokeLease(lease));
  }

  async #observe<Value>(call: Promise<Result<Value, Failure>>): Promise<Result<Value, Failure>> {
    const sentAt = performance.now();
    const outcome = await call;
    // A store that no longer has the history asked for has answered as well.
    this.#contact.note(outcome.isOk() || outcome.error.kind === 'staleRevision', sentAt);
    return outcome;
  }
}
