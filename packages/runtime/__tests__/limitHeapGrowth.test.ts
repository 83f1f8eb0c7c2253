import { execFileSync } from 'node:child_process';
import { expect } from 'chai';

const script = `
import { limitHeapGrowth } from '${new URL('../src/limitHeapGrowth.js', import.meta.url).href}';
limitHeapGrowth({ memoryMb: 210 });
const kept = [];
let peakBytes = 0;
for (let count = 0; count < 20_000; count += 1) {
  // Objects that live for a while are collected only with the old part of the heap.
  kept[count % 100] = new Array(10_000).fill(count);
  peakBytes = Math.max(peakBytes, process.memoryUsage().heapUsed);
}
console.log(peakBytes);
`;

describe('the growth of the heap', () => {
  // Guards against an entry whose heap exceeds the memory of its machine with garbage that is not collected yet.
  it('stays small if little is in use', () => {
    const output = execFileSync(process.execPath, ['--input-type=module', '--eval', script], {
      encoding: 'utf8',
      env: { ...process.env, NODE_OPTIONS: '' },
    });
    expect(Number(output) / 1024 / 1024).to.be.below(60);
  });
});
