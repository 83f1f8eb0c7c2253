import type { Request } from '@toucanline/schema';
import { expect } from 'chai';
import fc from 'fast-check';
import { RequestRecord, WaitingQueue } from '../src/index.js';

const teams = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const change = fc.record({
  team: fc.constantFrom(...teams),
  processors: fc.integer({ min: 1, max: 12 }),
  urgent: fc.integer({ min: 0, max: 7 }).map((value) => value === 0),
  rank: fc.integer({ min: 0, max: 3 }),
  removed: fc.option(fc.nat({ max: 100 })),
  isBlocking: fc.integer({ min: 0, max: 9 }).map((value) => value === 0),
});

const createRecord = (id: string, fields: Partial<Request>, processors: number): RequestRecord =>
  new RequestRecord(
    {
      id,
      digest: id,
      team: 'a',
      queue: 'q',
      kind: 'batch',
      idempotent: true,
      urgent: false,
      checkpointable: false,
      detached: false,
      tasks: 1,
      size: { processors, memoryMb: 1, accelerators: 0 },
      command: '',
      runTimeMs: 1,
      ...fields,
    },
    0,
    Infinity,
  );

describe('DispatchOrder', () => {
  // Guards against a team or shape that is lost or found at an old rank when few or many shapes are
  // schedulable.
  it('finds the same request as a linear search', () => {
    const property = fc.property(
      fc.array(change, { minLength: 20, maxLength: 150, size: 'max' }),
      (changes) => {
        const queue = new WaitingQueue();
        const waiting: RequestRecord[] = [];
        const ranks = new Map<string, number>();
        const blocked = new Set<string>();
        const nameShape = ({ request: { size, urgent } }: RequestRecord): string =>
          `${size.processors}|${urgent}`;
        const findLinear = (): RequestRecord | undefined =>
          waiting
            .filter((record) => !blocked.has(nameShape(record)))
            .sort(
              ({ request: left }, { request: right }) =>
                Number(right.urgent) - Number(left.urgent) ||
                (ranks.get(left.team) ?? 0) - (ranks.get(right.team) ?? 0),
            )[0];
        changes.forEach(({ team, processors, urgent, rank, removed, isBlocking }, index) => {
          const record = createRecord(`q${index}`, { team, urgent }, processors);
          waiting.push(record);
          queue.add(record);
          const [removedRecord] =
            removed === null ? [] : waiting.splice(removed % waiting.length, 1);
          if (removedRecord !== undefined) queue.remove(removedRecord);
          // The state of a shape is deleted once no request of it waits, so the next request of the
          // shape is tried.
          for (const shape of blocked) {
            if (!waiting.some((other) => nameShape(other) === shape)) blocked.delete(shape);
          }
          ranks.set(team, rank);
          queue.order.invalidateAllTeams();
          queue.order.rankTeams((name) => ranks.get(name) ?? 0);
          const requestClass = queue.order.findNext();
          expect(requestClass?.first?.id).to.equal(findLinear()?.id);
          if (!isBlocking || requestClass?.first === undefined) return;
          blocked.add(nameShape(requestClass.first));
          queue.order.blockShape(requestClass, 0);
        });
      },
    );
    fc.assert(property, { seed: 20_261_206, numRuns: 200 });
  });
});
