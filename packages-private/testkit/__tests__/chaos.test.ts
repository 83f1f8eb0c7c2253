import { expect } from 'chai';
import { ChaosRun } from '../src/index.js';

const seed = 7;
const faultsMs = 15_000;

describe('a site of two data centres under random faults', () => {
  // Guards against invariants that hold under each fault alone but not under combined faults.
  it('loses no request and violates no invariant', async function () {
    this.timeout(120_000);
    const lines: string[] = [];
    const { outcomes, violations } = await new ChaosRun(seed, faultsMs, (line) => {
      lines.push(line);
    }).run();
    expect(violations, lines.join('\n')).to.deep.equal([]);
    expect(outcomes.get('succeeded') ?? 0).to.be.greaterThan(0);
  });
});
