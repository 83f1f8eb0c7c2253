import { Advice } from '../standins/Advice.mjs';
import { fail, hasTrouble, runCase, sleep, unable } from '../standins/Site.mjs';

const finishMs = 14_000;
const freezeMs = 4000;
const path = '/rosters/0000000000000001';

await runCase(import.meta.dirname, async (site) => {
  site.advice = new Advice();
  site.advice.log = (text) => site.log(text);
  site.advice.findTerms = () => ({ DecideMs: 160, PerItemMs: 2.2, ValidMs: 2000 });
  site.configure({
    Routes: [
      {
        Name: 'rosters',
        Host: 'site.example',
        Prefix: '/rosters/',
        Service: 'desk',
        Priority: 2,
        MaxAttempts: 2,
        Stretch: 4,
        SloMs: 3000,
        Advice: { DecideMs: 160, PerItemMs: 2.2, ValidMs: 2000 },
      },
    ],
    Services: [{ Name: 'desk', EnforcesCapacity: false }],
    Tenants: [{ Name: 'planning', ApiKeys: ['key-1'], Weight: 100 }],
  });
  for (let number = 1; number <= 4; number += 1)
    await site.addRunner({ id: `i-${number}`, service: 'desk', cpu: 16_000, memMb: 32_768 });
  for (const runner of site.runners)
    runner.hasTicket = (ticket, id, task) => site.advice.isValid(ticket, id, task);
  await site.addHosts(2);
  await sleep(2000);

  const { leader } = site;
  const peer = site.hosts.find((host) => host !== leader);
  // The other host counts jobs only once its link to the leader is open.
  await site.until(
    async () => (await site.call(peer, 'GET', '/rosters/')).status === 200,
    5000,
    'the hosts are linked',
  );
  await site.submit(leader, path, {
    Spec: 'ms=1000',
    Steps: [{ Count: 4, Cpu: 2000, MemMb: 2000, EstimateMs: 1000 }],
  });
  await sleep(30);
  // The host that does not lead freezes for 4 s and wakes again.
  if (hasTrouble) site.signal(peer, 'SIGSTOP');
  await sleep(freezeMs);
  if (hasTrouble) site.signal(peer, 'SIGCONT');
  site.log('the traffic ends');
  await sleep(finishMs + 3000);

  const { status, body } = await site.call(leader, 'GET', path);
  if (status !== 200) throw unable('the state of the job is not told');
  if (site.history.length === 0)
    throw fail(
      `LOST: ${finishMs + 3000} ms after the end of the traffic the job is ${body.State}; no task of it ever ran, while all runners are empty`,
    );
  site.log(`the job is ${body.State}`);
});
