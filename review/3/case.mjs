import {
  describeOverlap,
  fail,
  findOverlaps,
  hasTrouble,
  runCase,
  sleep,
} from '../standins/Site.mjs';

const createConfiguration = (service) => ({
  Routes: [
    {
      Name: 'rosters',
      Host: 'site.example',
      Prefix: '/rosters/',
      Service: service,
      Priority: 1,
      MaxAttempts: 3,
      Stretch: 3,
      SloMs: 3000,
    },
  ],
  Services: [
    { Name: 'desk', EnforcesCapacity: false },
    { Name: 'studio', EnforcesCapacity: false },
  ],
  Tenants: [{ Name: 'planning', ApiKeys: ['key-1'], Weight: 100 }],
});

await runCase(import.meta.dirname, async (site) => {
  site.configure(createConfiguration('desk'));
  const desk = await site.addRunner({ id: 'i-1', service: 'desk', labels: ['a', 'r1-1'] });
  await site.addRunner({ id: 'i-2', service: 'studio', labels: ['a', 'r2-1'] });
  await site.addHosts(3);
  await sleep(1000);

  const [host] = site.hosts.filter((each) => each !== site.leader);
  await site.submit(host, '/rosters/0000000000000001', {
    Spec: 'ms=20000',
    Steps: [{ Count: 2, Cpu: 1000, MemMb: 500, EstimateMs: 20000 }],
  });
  await site.until(() => desk.runs.size === 2, 5000, 'both tasks run on the runner of desk');

  // Planned: the queue moves to another service; the work that runs stays where it is.
  site.configure(createConfiguration('studio'));
  await sleep(2500);
  // The runner is cut off from the machines of the system for 5.5 s and runs on.
  if (hasTrouble) desk.cut();
  await sleep(300);
  // Planned: the leader is stopped and started again, as in a rolling restart.
  const { leader } = site;
  site.signal(leader, 'SIGTERM');
  await sleep(5200);
  if (hasTrouble) desk.heal();
  await sleep(4000);

  const overlaps = findOverlaps(site.history);
  for (const overlap of overlaps) site.log(describeOverlap(overlap));
  if (overlaps.length > 0) throw fail(overlaps.map(describeOverlap).join('; '));
  site.log('no task ran twice');
});
