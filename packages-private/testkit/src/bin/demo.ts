import type { Event } from '@toucanline/schema';
import { Caller } from '../Caller.js';
import { exampleDocument } from '../exampleDocument.js';
import { Site } from '../Site.js';

const size = { processors: 2, memoryMb: 2048, accelerators: 0 };
const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const site = new Site({
  document: exampleDocument,
  dataCentres: ['dc1'],
  entriesPerDataCentre: 2,
  schedulersPerDataCentre: 2,
  workersPerDataCentre: 3,
  teams: ['planning', 'broadcast'],
});

const printTimeline = async (): Promise<void> => {
  const url = `${site.entries[0]?.url ?? ''}/v1/events`;
  const response = await fetch(url, { headers: site.operatorHeaders });
  const { events } = (await response.json()) as { events: readonly Event[] };
  for (const { stamp, process: name, name: what, requestId, taskId, worker, detail } of events) {
    const time = new Date(stamp.wallMs).toISOString().slice(11, 23);
    const subject = taskId ?? requestId ?? '';
    print([time, name.padEnd(8), what.padEnd(18), subject, worker ?? '', detail ?? ''].join(' '));
  }
};

const runDemo = async (): Promise<void> => {
  await site.start();
  const [first, second] = site.entries;
  const planning = new Caller(() => first?.url ?? '', 'key-planning');
  const broadcast = new Caller(() => second?.url ?? '', 'key-broadcast');
  const answers = await Promise.all([
    planning.submit('services', { size, command: 'serve', tasks: 2 }),
    broadcast.submit('renders', { size, command: 'sleep 200; echo radar loop' }),
    planning.submit('gangs', { size, tasks: 4, command: 'sleep 100; echo timetable part' }),
  ]);
  for (const { status, view } of answers) print(`${status} ${JSON.stringify(view)}`);
  print('');
  await printTimeline();
  const states = answers.map(({ view }) => view.state).join(' ');
  if (states !== 'running succeeded succeeded') throw new Error(`unexpected states: ${states}`);
  if (site.monitor.violations.length > 0) throw new Error(site.monitor.violations.join('; '));
};

try {
  await runDemo();
  print('\nall three requests were answered');
} catch (error) {
  process.exitCode = 1;
  print(`failed: ${error instanceof Error ? error.message : String(error)}`);
  for (const daemon of [...site.schedulers, ...site.entries])
    print(daemon.log.slice(-10).join('\n'));
} finally {
  await site.stop();
}
