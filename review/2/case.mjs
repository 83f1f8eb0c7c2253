import {
  hasTrouble,
  describeOverlap,
  fail,
  findOverlaps,
  runCase,
  sleep,
} from '../standins/Site.mjs';

/** Work whose data lies in the rack of the first runner, so that it is placed there. */
const job = {
  Spec: 'ms=5000',
  Steps: [{ Count: 2, Cpu: 1000, MemMb: 500, EstimateMs: 5000, Affinity: 'r1-1' }],
};

await runCase(import.meta.dirname, async (site) => {
  site.configure({
    Routes: [
      {
        Name: 'lookups',
        Host: 'site.example',
        Prefix: '/lookups/',
        Service: 'desk',
        Priority: 1,
        MaxAttempts: 3,
        Stretch: 3,
        SloMs: 3000,
      },
    ],
    Services: [{ Name: 'desk', EnforcesCapacity: false }],
    Tenants: [{ Name: 'planning', ApiKeys: ['key-1'], Weight: 100 }],
  });
  const first = await site.addRunner({ id: 'i-1', service: 'desk', labels: ['a', 'r1-1'] });
  await site.addRunner({ id: 'i-2', service: 'desk', labels: ['a', 'r2-1'] });
  await site.addRunner({ id: 'i-3', service: 'desk', labels: ['a', 'r3-1'] });
  await site.addHosts(3);
  await sleep(1500);

  // A runner without work crashes, starts again under its id after 300 ms, and writes its entry with a next heartbeat.
  if (hasTrouble) {
    first.crash();
    await sleep(300);
    await first.start({ registerAfterMs: 1500 });
  }
  await sleep(100);
  const [host] = site.hosts.filter((each) => each !== site.leader);
  await site.submit(host, '/lookups/0000000000000001', job);
  await sleep(8000);

  const { body } = await site.call(host, 'GET', '/lookups/0000000000000001');
  const overlaps = findOverlaps(site.history);
  for (const overlap of overlaps) site.log(describeOverlap(overlap));
  if (overlaps.length > 0) throw fail(overlaps.map(describeOverlap).join('; '));
  site.log(`no task ran twice; the job is ${body.State}`);
});
