import { createFailure } from '@toucanline/core';
import type { StoreDecoder } from '@toucanline/jobs';
import { expect } from 'chai';
import { err } from 'neverthrow';
import { StoredStateReader } from '../src/StoredStateReader.js';
import { storeKeys } from '../src/storeKeys.js';
import { MemoryStore } from './MemoryStore.js';

/** Store that answers each list of jobs too late, except for every third one. */
class SlowStore extends MemoryStore {
  public readonly listed: string[] = [];

  public override async list(prefix: string): ReturnType<MemoryStore['list']> {
    this.listed.push(prefix);
    const jobLists = this.listed.filter((each) => each === storeKeys.jobPrefix).length;
    if (prefix === storeKeys.jobPrefix && jobLists < 3) {
      return err(createFailure('timeout', 'no answer'));
    }
    return super.list(prefix);
  }
}

/** Load pattern: a takeover with more stored jobs than the link carries within one timeout. */
describe('stored state reader', () => {
  // Guards against a leader that never finishes loading, because one slow read made it repeat all of them. Seen on a
  // fleet of 44 hosts: five leaders were elected during a rolling restart, and none served a call.
  it('repeats only the reads that failed', async () => {
    const store = new SlowStore();
    store.put(`${storeKeys.jobPrefix}a`, '{}');
    store.put('workers/w', '{}');
    const decoder = { workerPrefix: 'workers/' } as unknown as StoreDecoder;
    const reader = new StoredStateReader(store, decoder);
    expect(await reader.read()).to.equal(undefined);
    expect(reader.missingKeys).to.deep.equal([storeKeys.jobPrefix]);
    expect(await reader.read()).to.equal(undefined);
    const state = await reader.read();
    expect(state?.jobs.items.length).to.equal(1);
    expect(state?.workers.items.length).to.equal(1);
    expect(store.listed.filter((prefix) => prefix !== storeKeys.jobPrefix)).to.have.length(2);
  });
});
