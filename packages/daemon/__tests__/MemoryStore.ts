import { createFailure } from '@toucanline/core';
import { MetadataStore, type StoreItem } from '@toucanline/jobs';
import { err, ok } from 'neverthrow';

type Transaction = Parameters<MetadataStore['commit']>[0];

/**
 * Fault of commits: `refused` fails each commit without an effect. The others affect only the next commit, which has no
 * answer: `lost` takes effect at once, `late` when the test applies it.
 */
type CommitFault = 'none' | 'lost' | 'late' | 'refused';

/** In-memory store with faults of reads and commits. */
export class MemoryStore extends MetadataStore {
  public fault: CommitFault = 'none';
  public commits = 0;
  /** Whether reads have no answer. */
  public hasUnansweredReads = false;
  readonly #items = new Map<string, StoreItem>();
  #lateCommits: Transaction[] = [];
  #revision = 1;
  #lease = 0;

  public get(key: string): string | undefined {
    return this.#items.get(key)?.value;
  }

  public put(key: string, value: string): number {
    this.#revision += 1;
    this.#items.set(key, { key, value, revision: this.#revision });
    return this.#revision;
  }

  /** Applies the delayed commits. */
  public applyLateCommits(): void {
    const lateCommits = this.#lateCommits;
    this.#lateCommits = [];
    for (const transaction of lateCommits) this.#apply(transaction);
  }

  public override read(key: string): ReturnType<MetadataStore['read']> {
    if (this.hasUnansweredReads) return new Promise(() => undefined);
    return Promise.resolve(ok(this.#items.get(key)));
  }

  public override ping(): Promise<boolean> {
    return Promise.resolve(true);
  }

  public override list(prefix: string): ReturnType<MetadataStore['list']> {
    const items = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix));
    return Promise.resolve(ok({ items, revision: this.#revision }));
  }

  public override async watch(
    _prefix: string,
    after: number,
    waitMs: number,
  ): ReturnType<MetadataStore['watch']> {
    await new Promise((resolve) => setTimeout(resolve, Math.min(waitMs, 20)));
    return ok({ items: [], revision: after });
  }

  public override commit(transaction: Transaction): ReturnType<MetadataStore['commit']> {
    this.commits += 1;
    const { fault } = this;
    if (fault === 'refused') {
      return Promise.resolve(err(createFailure('storeUnavailable', 'refused')));
    }
    if (fault === 'none') return Promise.resolve(ok(this.#apply(transaction)));
    // The fault affects only this commit.
    this.fault = 'none';
    if (fault === 'lost') this.#apply(transaction);
    else this.#lateCommits = [...this.#lateCommits, transaction];
    return Promise.resolve(err(createFailure('timeout', 'no answer')));
  }

  public override grantLease(): ReturnType<MetadataStore['grantLease']> {
    this.#lease += 1;
    return Promise.resolve(ok(this.#lease));
  }

  public override renewLease(): ReturnType<MetadataStore['renewLease']> {
    return Promise.resolve(ok(true));
  }

  public override revokeLease(): ReturnType<MetadataStore['revokeLease']> {
    return Promise.resolve(ok(undefined));
  }

  #apply({ expected, put, remove = [] }: Transaction) {
    const revisionOf = (key: string): number => this.#items.get(key)?.revision ?? 0;
    if (expected.some(({ key, revision }) => revisionOf(key) !== revision)) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? []);
      return { committed: false as const, items };
    }
    this.#revision += 1;
    for (const { key, value } of put) {
      this.#items.set(key, { key, value, revision: this.#revision });
    }
    for (const key of remove) this.#items.delete(key);
    return { committed: true as const, revision: this.#revision };
  }
}
