import { fail, hasTrouble, runCase, sleep, unable } from '../standins/Site.mjs';

const contactMs = 3000;
const cancelMs = 3000;
const stopMs = 400;
/** Delays of the writes whose answers are lost: the job itself, and what the host tries after it. */
const lateMs = [4000, 5000];
const job = {
  Spec: 'ms=25000',
  Steps: [{ Count: 2, Cpu: 1000, MemMb: 500, EstimateMs: 25000 }],
};
const small = { Spec: 'ms=300', Steps: [{ Count: 1, Cpu: 500, MemMb: 100, EstimateMs: 300 }] };
const path = '/lookups/0000000000000001';
const jobKey = 'toucanline/job/0000000000000001';

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
  await site.addRunner({ id: 'i-1', service: 'desk', labels: ['a', 'r1-1'] });
  await site.addHosts(3);
  await sleep(1000);

  const [host, other] = site.hosts.filter((each) => each !== site.leader);
  // For 4.5 s answers of the store are lost, and those writes are done late.
  let calmAt = site.time;
  let writes = 0;
  let lost = 0;
  const endsAt = site.time + 4500;
  site.store.interceptTransaction = ({ SetKeys = [] }) => {
    if (site.time > endsAt) return undefined;
    writes += 1;
    if (!hasTrouble || lost === lateMs.length) return undefined;
    if (!SetKeys.some(({ Key }) => Key === jobKey)) return undefined;
    const verdict = { lateMs: lateMs[lost] };
    lost += 1;
    calmAt = Math.max(calmAt, site.time + verdict.lateMs);
    site.log(`store: the answer to a write of ${jobKey} is lost; done ${verdict.lateMs} ms later`);
    return verdict;
  };
  const others = Promise.all(
    [2, 3, 4, 5, 6, 7].map(async (number) => {
      await sleep(number * 400);
      await site.submit(other, `/lookups/000000000000000${number}`, small);
    }),
  );
  const { status } = await site.call(host, 'POST', path, job);
  if (!hasTrouble && status !== 200) throw unable('the job was not accepted');
  await sleep(200);
  // The client has no answer that tells what became of the job, so it cancels it, at another host.
  let cancelledAt = 0;
  for (let attempt = 0; attempt < 5 && cancelledAt === 0; attempt += 1) {
    const answer = await site.call(other, 'DELETE', path);
    if (answer.status === 200 || answer.status === 410) cancelledAt = site.time;
  }
  if (cancelledAt === 0) throw unable('the cancelling was not acknowledged');
  await others;
  await sleep(Math.max(0, calmAt + contactMs + cancelMs + stopMs + 500 - site.time));
  await site.call(other, 'GET', path);
  site.log(`${lost} of ${writes} writes within 4.5 s got no answer`);

  const isJob = ({ task }) => task.startsWith('0000000000000001.');
  const late = site.history.filter(
    (run) => isJob(run) && run.endedAt === undefined && run.stoppingAt === undefined,
  );
  if (late.length > 0) {
    const { task, startedAt } = late[0];
    const calmMs = Math.round(site.time - calmAt);
    throw fail(
      `UNASKED: ${late.length} tasks of a job run on ${Math.round(site.time - cancelledAt)} ms after its cancelling was acknowledged and ${calmMs} ms after the end of the disruption; ${task} started ${Math.round(startedAt - cancelledAt)} ms after that acknowledgement`,
    );
  }
});
