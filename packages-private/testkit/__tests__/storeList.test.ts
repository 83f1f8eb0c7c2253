import { HttpStore } from '@toucanline/clients';
import { expect } from 'chai';
import { StoreFake } from '../src/index.js';

describe('a list of store values', () => {
  // Guards against a stale list that is considered current: a shard without a claim would look claimed.
  it('is the current one, whether or not it changed since the last time', async () => {
    const fake = new StoreFake();
    await fake.start();
    const store = new HttpStore(fake.url, 1000);
    const list = async (): Promise<readonly string[]> =>
      (await store.list('owners/'))
        ._unsafeUnwrap()
        .map(({ key, value }) => `${key} ${value ?? ''}`);
    fake.put('owners/s1', 'a');
    fake.put('claims/s1', 'x');
    expect(await list()).to.deep.equal(['owners/s1 a']);
    expect(await list()).to.deep.equal(['owners/s1 a']);
    fake.put('owners/s2', 'b');
    expect(await list()).to.deep.equal(['owners/s1 a', 'owners/s2 b']);
    const { version } = fake.peek('owners/s1');
    (await store.write('owners/s1', undefined, version))._unsafeUnwrap();
    expect(await list()).to.deep.equal(['owners/s2 b']);
    await store.close();
    fake.stop();
  });
});
