import { MetadataStore } from '@toucanline/jobs';
import type { Failure } from '@toucanline/schema';
import type { Result } from 'neverthrow';
import { hostLimits } from './hostLimits.js';
import type { StoreHealth } from './StoreHealth.js';

/** Store that records the outcome of each call, so that the host knows whether the store is reachable. */
export class MonitoredStore extends MetadataStore {
  readonly #store: MetadataStore;
  readonly #health: StoreHealth;
  #isStopped = false;

  /**
   * @param store - store that carries out the calls
   * @param health - records the outcomes
   */
  public constructor(store: MetadataStore, health: StoreHealth) {
    super();
    this.#store = store;
    this.#health = health;
  }

  /** Pings the store periodically until stopped: pending watches alone would reveal an outage too late. */
  public async sendPings(): Promise<void> {
    while (!this.#isStopped) {
      await this.ping(hostLimits.pingTimeoutMs);
      await new Promise((resolve) => setTimeout(resolve, hostLimits.pingIntervalMs));
    }
  }

  /** Stops the pings. */
  public stopPings(): void {
    this.#isStopped = true;
  }

  /** {@inheritDoc MetadataStore.read} */
  public override read(key: string): ReturnType<MetadataStore['read']> {
    return this.#recordOutcome(this.#store.read(key));
  }

  /** {@inheritDoc MetadataStore.ping} */
  public override async ping(timeoutMs: number): Promise<boolean> {
    const sentAt = performance.now();
    const isAnswered = await this.#store.ping(timeoutMs);
    this.#health.recordOutcome(isAnswered, sentAt);
    return isAnswered;
  }

  /** {@inheritDoc MetadataStore.list} */
  public override list(prefix: string): ReturnType<MetadataStore['list']> {
    return this.#recordOutcome(this.#store.list(prefix));
  }

  /** {@inheritDoc MetadataStore.watch} */
  public override watch(
    ...call: Parameters<MetadataStore['watch']>
  ): ReturnType<MetadataStore['watch']> {
    return this.#recordOutcome(this.#store.watch(...call));
  }

  /** {@inheritDoc MetadataStore.commit} */
  public override commit(
    transaction: Parameters<MetadataStore['commit']>[0],
  ): ReturnType<MetadataStore['commit']> {
    return this.#recordOutcome(this.#store.commit(transaction));
  }

  /** {@inheritDoc MetadataStore.grantLease} */
  public override grantLease(ttlMs: number): ReturnType<MetadataStore['grantLease']> {
    return this.#recordOutcome(this.#store.grantLease(ttlMs));
  }

  /** {@inheritDoc MetadataStore.renewLease} */
  public override renewLease(lease: number): ReturnType<MetadataStore['renewLease']> {
    return this.#recordOutcome(this.#store.renewLease(lease));
  }

  /** {@inheritDoc MetadataStore.revokeLease} */
  public override revokeLease(lease: number): ReturnType<MetadataStore['revokeLease']> {
    return this.#recordOutcome(this.#store.revokeLease(lease));
  }

  async #recordOutcome<Value>(
    call: Promise<Result<Value, Failure>>,
  ): Promise<Result<Value, Failure>> {
    const sentAt = performance.now();
    const outcome = await call;
    // A store that no longer has the requested history has answered as well.
    this.#health.recordOutcome(outcome.isOk() || outcome.error.kind === 'staleRevision', sentAt);
    return outcome;
  }
}
