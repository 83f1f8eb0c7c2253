import { createFailure } from '@toucanline/core';
import type { StoreItem } from '@toucanline/jobs';
import { err, ok } from 'neverthrow';
import { MemoryStore } from './MemoryStore.js';

/** In-memory store in which an operator evacuates data centres, with faults of the calls that read these keys. */
export class OperatorStore extends MemoryStore {
  public readonly evacuationPrefix = 'evacuations/';
  /** `down`: each call fails; `silent`: no call is answered, not even one that is pending. */
  public evacuationFault: 'none' | 'down' | 'silent' = 'none';
  /** Number of calls that read the evacuations. */
  public evacuationCalls = 0;
  #changes: readonly StoreItem[] = [];

  public evacuate(dataCentre: string): void {
    const key = this.evacuationPrefix + dataCentre;
    this.#changes = [...this.#changes, { key, value: '', revision: this.put('counter', '') }];
  }

  public withdraw(dataCentre: string): void {
    const key = this.evacuationPrefix + dataCentre;
    const revision = this.put('counter', '');
    this.#changes = [...this.#changes, { key, value: undefined, revision }];
  }

  public override async list(prefix: string): ReturnType<MemoryStore['list']> {
    const page = await super.list(prefix);
    if (prefix !== this.evacuationPrefix) return page;
    this.evacuationCalls += 1;
    if (this.evacuationFault !== 'none') return this.#fail();
    const latest = new Map(this.#changes.map((item) => [item.key, item]));
    const items = [...latest.values()].filter(({ value }) => value !== undefined);
    return page.map(({ revision }) => ({ items, revision }));
  }

  public override async watch(
    ...call: Parameters<MemoryStore['watch']>
  ): ReturnType<MemoryStore['watch']> {
    const [prefix, after, waitMs] = call;
    if (prefix !== this.evacuationPrefix) return super.watch(...call);
    this.evacuationCalls += 1;
    const endsAt = performance.now() + waitMs;
    for (;;) {
      if (this.evacuationFault !== 'none') return this.#fail();
      const items = this.#changes.filter(({ revision }) => revision > after);
      if (items.length > 0 || performance.now() >= endsAt)
        return ok({ items, revision: items.at(-1)?.revision ?? after });
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  async #fail(): ReturnType<MemoryStore['list']> {
    if (this.evacuationFault === 'silent') return new Promise(() => undefined);
    await new Promise((resolve) => setTimeout(resolve, 10));
    return err(createFailure('storeUnavailable', 'down'));
  }
}
