import { expect } from 'chai';
import { RestartingWorkers } from './RestartingWorkers.js';
import { waitUntil } from './waitUntil.js';
import { WorkerLeader } from './WorkerLeader.js';

describe('commands for a worker that has restarted under its id', () => {
  let workers: RestartingWorkers;
  let leader: WorkerLeader;

  beforeEach(async () => {
    workers = new RestartingWorkers();
    leader = new WorkerLeader(workers);
    await leader.addWorker('w1');
  });
  afterEach(() => {
    leader.stop();
  });

  const waitForStart = (task: string): Promise<void> =>
    waitUntil(() => workers.starts.some((start) => start.task === task), `${task} starts`);

  /** Runs a job whose end is seen by the leader, and not acknowledged yet. */
  const runFirstJob = async (): Promise<void> => {
    leader.submit('a');
    await waitForStart('a.0.0.0');
    workers.endRun('w1', 'a.0.0.0');
    await waitUntil(() => leader.scheduler.progress.hasPending, 'the end is reported');
  };

  /** Checks that the job `b` completes, and that its only start was executed by the second incarnation. */
  const expectSingleRun = async (): Promise<void> => {
    await leader.addWorker('w2');
    await waitUntil(() => {
      leader.plan();
      leader.storeProgress();
      return workers.starts.length > 2 || leader.scheduler.findJobState('b') === 'completed';
    }, 'b is completed or starts again');
    expect(workers.starts.slice(1)).to.deep.equal([{ task: 'b.0.0.0', life: 2 }]);
    expect(leader.losses).to.deep.equal([]);
  };

  // Guards against a second run of a completed task: the next incarnation, which the leader did not know yet, ran it and
  // then executed a late acknowledgement of the earlier incarnation, which discarded the end.
  it('do not discard an end of a run of an unknown incarnation by a late acknowledgement', async () => {
    await runFirstJob();
    const lost = workers.loseNext('acknowledgement');
    leader.storeProgress();
    const acknowledgement = await lost;
    workers.restart('w1');
    leader.submit('b');
    await waitForStart('b.0.0.0');
    workers.endRun('w1', 'b.0.0.0');
    acknowledgement.execute();
    acknowledgement.timeOut();
    await expectSingleRun();
  });

  // Guards against the same with an acknowledgement that is answered: the store was slow, and meanwhile the worker restarted
  // and ran another task.
  it('do not acknowledge ends of the earlier incarnation after a start on the next one', async () => {
    await runFirstJob();
    workers.restart('w1');
    leader.submit('b');
    await waitForStart('b.0.0.0');
    workers.endRun('w1', 'b.0.0.0');
    leader.storeProgress();
    await expectSingleRun();
  });

  // Guards against the same with an acknowledgement that is sent while a start has no response yet: the next incarnation
  // executes both, the acknowledgement after the run has ended.
  it('do not acknowledge ends while a start has no response', async () => {
    await runFirstJob();
    workers.restart('w1');
    const lostStart = workers.loseNext('start');
    leader.submit('b');
    const start = await lostStart;
    start.execute();
    const executed = new Set<string>();
    void workers.loseNext('acknowledgement').then((acknowledgement) => {
      workers.endRun('w1', 'b.0.0.0');
      acknowledgement.execute();
      acknowledgement.timeOut();
      executed.add('acknowledgement');
    });
    leader.storeProgress();
    await new Promise((resolve) => setTimeout(resolve, 50));
    if (executed.size === 0) workers.endRun('w1', 'b.0.0.0');
    start.timeOut();
    await expectSingleRun();
  });

  // Guards against workers that stay idle after a restart: they got no tasks for 12.5 s after an unanswered acknowledgement.
  // Once the leader has surveyed them, they refuse what was meant for the earlier incarnation.
  it('are refused once the next incarnation is surveyed, which gets tasks at once', async () => {
    await runFirstJob();
    const lost = workers.loseNext('acknowledgement');
    leader.storeProgress();
    const acknowledgement = await lost;
    workers.restart('w1');
    acknowledgement.timeOut();
    await leader.addWorker('w1', 2);
    leader.submit('b');
    await waitForStart('b.0.0.0');
    workers.endRun('w1', 'b.0.0.0');
    acknowledgement.execute();
    await expectSingleRun();
  });
});
