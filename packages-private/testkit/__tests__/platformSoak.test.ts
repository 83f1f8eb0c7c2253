import { expect } from 'chai';
import { PlatformRunMonitor } from '../src/PlatformRunMonitor.js';
import { PlatformSoak } from '../src/PlatformSoak.js';

const seeds = [1, 2, 3];
const faultsMs = 8000;

describe("hosts on the users' platform under series of faults that overlap", () => {
  for (const seed of seeds) {
    // Guards against jobs that are lost, refused and run, or run twice, only when faults overlap.
    it(`violate no invariant with seed ${seed}`, async () => {
      const lines: string[] = [];
      const { violations, runCount } = await new PlatformSoak(seed, faultsMs, (line) => {
        lines.push(line);
      }).run();
      expect(violations, lines.join('\n')).to.deep.equal([]);
      expect(runCount).to.be.above(0);
    }).timeout(240_000);
  }
});

describe('the monitor of runs', () => {
  const createWorker = (id: string): Parameters<PlatformRunMonitor['startRun']>[2] => ({
    id,
    endDueRuns: () => undefined,
  });

  // Guards against a soak that passes since its monitor overlooks what it has to find.
  it('reports a second active run and a run after an acknowledged completion, and nothing else', () => {
    const monitor = new PlatformRunMonitor();
    const [first, second] = [createWorker('w1'), createWorker('w2')];
    monitor.startRun('job.0.0', 1, first);
    monitor.endRun('job.0.0', first, 'lapsed');
    monitor.startRun('job.0.0', 2, second);
    expect(monitor.violations).to.deep.equal([]);
    monitor.startRun('job.0.0', 3, first);
    expect(monitor.violations).to.have.length(1);
    expect(monitor.violations[0]).to.match(/run 3 starts on w1 while w2 runs it$/);
    monitor.endRun('job.0.0', first, 'done');
    monitor.acknowledgeCompletion('job.0.0');
    monitor.startRun('job.0.0', 4, first);
    expect(monitor.violations).to.have.length(2);
    expect(monitor.violations[1]).to.match(/run 4 starts on w1 after an acknowledged completion$/);
    expect([monitor.hasStarted('job'), monitor.hasStarted('other')]).to.deep.equal([true, false]);
  });
});
