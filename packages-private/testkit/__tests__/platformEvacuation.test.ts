import { expect } from 'chai';
import { PlatformSite } from '../src/PlatformSite.js';
import { sleep } from '../src/sleep.js';
import { waitUntil } from '../src/waitUntil.js';

const boundMs = 5000;

const createJob = (durationMs: number): unknown => ({
  Spec: `ms=${durationMs}`,
  Steps: [{ Count: 4, Cpu: 500, MemMb: 100, EstimateMs: durationMs }],
});

const path = (number: number): string => `/renders/${number.toString(16).padStart(16, '0')}`;

describe("the evacuation of a data centre on the users' platform", () => {
  // Guards against starts in an evacuated data centre after the bound, while the leader is killed or paused, against
  // running tasks that are stopped, and against a data centre that is not used after its return.
  it('starts nothing there after the bound, lets running tasks end, and is withdrawn', async () => {
    const site = new PlatformSite({
      settingsLines: [`Bounds.EvacMs=${boundMs}`],
      dataCentres: ['dc1', 'dc2'],
    });
    try {
      await site.start(3, 2);
      const [first, second] = site.workers;
      if (first === undefined || second === undefined) throw new Error('the site has no workers');
      const submitted: string[] = [];
      const submit = async (durationMs: number): Promise<void> => {
        const host = site.hosts.find((each) => each.process.signalCode === null && each !== paused);
        const job = path(submitted.length + 1);
        expect((await site.call(host, 'POST', job, createJob(durationMs))).status).to.equal(200);
        submitted.push(job);
      };
      let paused: (typeof site.hosts)[number] | undefined;
      const submitFor = async (durationMs: number): Promise<void> => {
        const endsAt = performance.now() + durationMs;
        while (performance.now() < endsAt) {
          await submit(40);
          await sleep(100);
        }
      };
      const countLateStarts = (acknowledgedAt: number): number =>
        first.endedRuns.filter(({ startedAt }) => startedAt > acknowledgedAt + boundMs).length;

      // Three jobs of four tasks of half a core each need both workers.
      for (let number = 0; number < 3; number += 1) await submit(boundMs + 2000);
      await waitUntil(() => first.runningTasks.length > 0, 5000, 'a task runs in the first one');
      const running = [...first.runningTasks];
      site.store.put('op/evacuate/dc1', '');
      const acknowledgedAt = performance.now();
      await submitFor(1000);
      const killed = site.leader;
      killed?.process.kill('SIGKILL');
      // Its exit is noticed later; until then a call to it would fail.
      await waitUntil(() => killed?.process.signalCode !== null, 10_000, 'the leader has ended');
      await waitUntil(() => site.leader?.process.signalCode === null, 10_000, 'another leader');
      await submitFor(boundMs);
      const done = (): readonly string[] =>
        first.endedRuns.filter(({ outcome }) => outcome === 'done').map(({ task }) => task);
      await waitUntil(() => running.every((task) => done().includes(task)), 10_000, 'their ends');

      // The next leader is paused while the other data centre is evacuated in place of this one.
      paused = site.leader;
      paused?.process.kill('SIGSTOP');
      site.store.put('op/evacuate/dc2', '');
      const secondAcknowledgedAt = performance.now();
      await submitFor(boundMs + 500);
      paused?.process.kill('SIGCONT');
      paused = undefined;
      await sleep(1000);
      expect(countLateStarts(acknowledgedAt)).to.equal(0);
      const lateStarts = second.endedRuns.filter(
        ({ startedAt }) => startedAt > secondAcknowledgedAt + boundMs,
      );
      expect(lateStarts).to.deep.equal([]);

      site.store.remove('op/evacuate/dc1');
      await submit(40);
      const last = submitted.at(-1) ?? '';
      const reader = site.hosts.find((host) => host.process.signalCode === null);
      await site.waitForState(reader, last, 'completed', 30_000);
      expect(countLateStarts(acknowledgedAt)).to.be.above(0);
      for (const job of submitted) await site.waitForState(reader, job, 'completed', 30_000);
      const counts = [...site.countCompletions().values()];
      expect(counts).to.deep.equal(Array<number>(submitted.length * 4).fill(1));
    } finally {
      site.stop();
    }
  }).timeout(120_000);
});
