import { expect } from 'chai';
import fc from 'fast-check';
import { CapacityIndex, coversResources } from '../src/index.js';

const amount = fc.record({
  processors: fc.integer({ min: 0, max: 16 }),
  memoryMb: fc.integer({ min: 0, max: 16 }),
  accelerators: fc.integer({ min: 0, max: 2 }),
});
const change = fc.record({
  item: fc.integer({ min: 0, max: 200 }),
  free: fc.option(amount),
  key: fc.integer({ min: 0, max: 20 }),
});

describe('CapacityIndex', () => {
  // Guards against an item that is lost or found at an old position after blocks were split or
  // merged.
  it('finds the same items as a linear scan, in the order of their keys', () => {
    const property = fc.property(
      fc.array(change, { minLength: 100, maxLength: 800, size: 'max' }),
      amount,
      (changes, size) => {
        const index = new CapacityIndex<number>();
        const model = new Map<number, { free: typeof size; key: number }>();
        for (const { item, free, key } of changes) {
          if (free === null) {
            index.delete(item);
            model.delete(item);
          } else {
            index.set(item, free, key);
            model.set(item, { free, key });
          }
        }
        const expected = [...model].filter(([, { free }]) => coversResources(free, size));
        const ascending = [...index.findAscending(size)];
        const keys = ascending.map((item) => model.get(item)?.key ?? NaN);
        expect(index.size).to.equal(model.size);
        expect([...ascending].sort()).to.deep.equal(expected.map(([item]) => item).sort());
        expect(keys).to.deep.equal([...keys].sort((left, right) => left - right));
        expect([...index.findDescending(size)].reverse()).to.deep.equal(ascending);
      },
    );
    fc.assert(property, { numRuns: 200, seed: 7 });
  });
});
