import { fail, hasTrouble, runCase, sleep, unable } from '../standins/Site.mjs';

/** Thousandths of a core that the account may have running. */
const cap = 4000;
const taskCpu = 1000;
/** `Cap` x (1 + `QuotaOverrun`) and one task more. */
const bound = cap * 1.1 + taskCpu;

const createJob = (label) => ({
  Spec: 'ms=30000',
  Steps: [{ Count: 4, Cpu: taskCpu, MemMb: 500, EstimateMs: 30000, Requires: label }],
});

/** Highest processor use of all runs that were at work at the same time; a run counts until it is told to stop. */
const findHighestUse = (history) => {
  const until = (run) => Math.min(run.stoppingAt ?? Infinity, run.endedAt ?? performance.now());
  return Math.max(
    0,
    ...history.map(
      ({ startedAt }) =>
        history.filter((run) => run.startedAt <= startedAt && until(run) > startedAt).length *
        taskCpu,
    ),
  );
};

await runCase(import.meta.dirname, async (site) => {
  site.configure({
    Routes: [
      {
        Name: 'renders',
        Host: 'site.example',
        Prefix: '/renders/',
        Service: 'desk',
        Priority: 1,
        MaxAttempts: 3,
        Stretch: 3,
        SloMs: 3000,
      },
    ],
    Services: [{ Name: 'desk', EnforcesCapacity: false }],
    Tenants: [
      { Name: 'planning', ApiKeys: ['key-1'], Weight: 100, Cap: { Cpu: cap, MemMb: 0, Gpu: 0 } },
    ],
  });
  const first = await site.addRunner({ id: 'i-1', service: 'desk', labels: ['a', 'r1-1'] });
  await site.addRunner({ id: 'i-2', service: 'desk', labels: ['b', 'r2-1'] });
  await site.addHosts(3);
  await sleep(1000);

  const [host] = site.hosts.filter((each) => each !== site.leader);
  await site.submit(host, '/renders/0000000000000001', createJob('a'));
  await site.until(() => first.runs.size === 4, 5000, 'the account uses its whole cap');
  await sleep(3000);
  // The runner is cut off from the machines of the system for 5.5 s and runs on.
  if (hasTrouble) first.cut();
  await sleep(300);
  // Planned: the leader is stopped and started again, as in a rolling restart.
  const { leader } = site;
  site.signal(leader, 'SIGTERM');
  await site.until(
    () => site.leader !== undefined && site.leader !== leader,
    5000,
    'another host leads',
  );
  await sleep(500);
  await site.submit(host, '/renders/0000000000000002', createJob('b'));
  await sleep(4000);
  if (hasTrouble) first.heal();
  await sleep(3000);

  const used = findHighestUse(site.history);
  if (used < cap) throw unable('the account never used its cap');
  site.log(`highest use: ${used} of a cap of ${cap}; the rule allows ${bound}`);
  if (used > bound)
    throw fail(
      `QUOTA: the account has ${used} running; its cap is ${cap}, and the rule allows ${bound}`,
    );
});
