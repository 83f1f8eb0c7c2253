// The zone of the process that leads is cut off. It goes on to start tasks there, and its successor starts others.
import {
  createConfiguration,
  createRoute,
  Path,
  runCase,
  sleep,
  waitUntil,
} from '../standins-2/site.mjs';

/** `Cap` of the tenant and `QuotaOverrun`. */
const capCpu = 16_000;
const quotaOverrun = 0.1;
/** Length of the cut in milliseconds; the site file's longest is 5.9 s. */
const cutMs = 5500;
const taskCpu = 1000;

/** The first step runs for 2 s, the second has 15 tasks. */
const earlyJob = {
  Spec: 'ms=2500',
  Steps: [
    { Count: 1, Cpu: taskCpu, MemMb: 256, EstimateMs: 2500, Requires: 'b' },
    { Count: 15, Cpu: taskCpu, MemMb: 256, EstimateMs: 2500, After: [0], Requires: 'b' },
  ],
};
const laterJob = {
  Spec: 'ms=2500',
  Steps: [{ Count: 14, Cpu: taskCpu, MemMb: 256, EstimateMs: 2500 }],
};

await runCase(import.meta.dirname, async ({ store, hosts, addRunner, recorder, hasTrouble }) => {
  const tenant = { Name: 'tenant-1', ApiKeys: ['key-1'], Weight: 100, Cap: { Cpu: capCpu } };
  const routes = [createRoute('roster', 'desk')];
  store.put('op/config', createConfiguration(3, routes, ['desk'], [tenant]));
  // Zone a has the runners of kind b, and will have the process that leads.
  const inside = [];
  const outside = [];
  for (const number of [1, 2])
    inside.push(await addRunner(`runner-a${number}`, 'desk', undefined, ['b', `r1-${number}`]));
  for (const number of [1, 2, 3, 4])
    outside.push(await addRunner(`runner-b${number}`, 'desk', undefined, ['a', `r2-${number}`]));
  const paths = new Map();
  for (const number of [1, 2, 3]) {
    const path = new Path();
    await path.open(store.address);
    paths.set(`front-${number}`, path);
    await hosts.add(`front-${number}`, path.address);
  }
  await hosts.waitUntilReady();
  await sleep(2000);

  const broken = [];
  let used = 0;
  const limit = capCpu * (1 + quotaOverrun) + taskCpu;
  for (const runner of [...inside, ...outside]) {
    runner.onStart = ({ task, run }) => {
      used =
        [...inside, ...outside].reduce((sum, each) => sum + each.activeTasks.length, 0) * taskCpu;
      if (used <= limit) return;
      broken.push(
        `QUOTA: start of ${task} run ${run} brings what the tenant runs to ${used}, Cap is ${capCpu}`,
      );
      recorder.write(broken.at(-1));
    };
  }

  const { leader } = hosts;
  const others = hosts.names.filter((name) => name !== leader);
  const first = await hosts.call(others[0], 'POST', '/roster/00000000000000a1', earlyJob);
  if (first.status !== 200) throw new Error('the first job was not accepted');
  await sleep(1000);

  const token = Number(store.get('toucanline/lead/term'));
  recorder.write(`zone a with ${leader} (token ${token}) is cut off: ${hasTrouble}`);
  if (hasTrouble) {
    paths.get(leader).cut();
    for (const runner of inside) runner.hasPathFrom = (sent) => sent <= token;
    for (const runner of outside) runner.hasPathFrom = (sent) => sent > token;
    setTimeout(() => {
      recorder.write('the cut heals');
      paths.get(leader).heal();
      for (const runner of [...inside, ...outside]) runner.hasPathFrom = undefined;
    }, cutMs);
    await waitUntil(
      () => Number(store.get('toucanline/lead/term')) > token,
      cutMs,
      'another process leads',
    );
    recorder.write(`${hosts.leader} leads`);
  }
  await sleep(500);
  for (const id of ['00000000000000b1', '00000000000000b2']) {
    const { status } = await hosts.call(others[0], 'POST', `/roster/${id}`, laterJob);
    if (status !== 200) throw new Error('a later job was not accepted');
  }
  await sleep(25_000);
  return broken;
});
