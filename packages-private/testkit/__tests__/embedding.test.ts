import { expect } from 'chai';
import { runEmbeddingExample } from '../src/runEmbeddingExample.js';
import { StoreFake } from '../src/index.js';

describe('the coordination components as a library', () => {
  it('provides claims with growing epochs, escrowed amounts and revisions that never revert', async () => {
    const store = new StoreFake();
    await store.start();
    const lines: string[] = [];
    await runEmbeddingExample(store.url, (line) => lines.push(line));
    store.stop();
    expect(lines).to.deep.equal([
      'first owns epoch 1',
      'second: notOwner',
      'second owns epoch 2',
      'before the commit: 0 processors',
      'after the commit: 4 processors',
      'revision 1 accepted',
      'second change: staleRevision',
      'holder has revision 1',
    ]);
  });
});
