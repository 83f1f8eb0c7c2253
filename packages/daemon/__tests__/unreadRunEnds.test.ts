import { expect } from 'chai';
import { RestartingWorkers } from './RestartingWorkers.js';
import { waitUntil } from './waitUntil.js';
import { WorkerLeader } from './WorkerLeader.js';

/** Longest lease of the workers: a task is released 0.8 s after the last contact. */
const maxLeaseMs = 600;
const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

describe('a worker whose leases have expired', () => {
  let workers: RestartingWorkers;
  let leader: WorkerLeader;

  beforeEach(async () => {
    workers = new RestartingWorkers();
    leader = new WorkerLeader(workers, maxLeaseMs);
    await leader.addWorker('w1');
    leader.submit('a');
    await waitUntil(() => workers.starts.length === 1, 'the task starts');
    leader.setDraining('w1', true);
  });
  afterEach(() => {
    leader.stop();
  });

  /** Plans for a time that is longer than the leases. */
  const planBeyondLeases = async (): Promise<void> => {
    for (let pass = 0; pass < 30; pass += 1) {
      leader.plan();
      await sleep(50);
    }
  };

  /** Checks that the job completes by its first run, with another worker free. */
  const expectSingleRun = async (): Promise<void> => {
    await waitUntil(() => {
      leader.plan();
      leader.storeProgress();
      return workers.starts.length > 1 || leader.scheduler.findJobState('a') === 'completed';
    }, 'the job completes or starts again');
    expect(workers.starts).to.have.length(1);
  };

  // Guards against a second run of a completed task: the worker was unreachable when the run ended and for longer than its
  // leases, and nobody asked it again, because it had no tasks any more.
  it('is asked until it reports, so that a task that is done there does not start again', async () => {
    workers.unreachable.add('w1');
    workers.endRun('w1', 'a.0.0.0');
    await planBeyondLeases();
    workers.unreachable.delete('w1');
    await sleep(500);
    await leader.addWorker('w2');
    await expectSingleRun();
  });

  // Guards against the same after the leader could issue no commands for longer than the leases: its first pass afterwards
  // released the tasks of workers that it had not asked, and started them elsewhere.
  it('is asked before its tasks start again after the leader could issue no commands', async () => {
    await leader.addWorker('w2');
    leader.setLeaseHeld(false);
    workers.endRun('w1', 'a.0.0.0');
    await sleep(1000);
    leader.setLeaseHeld(true);
    await expectSingleRun();
  });

  // Guards against the same with a task that was released while no other worker had room, or after a call that failed before the
  // leader could issue no commands: the worker can be reached again and is not asked yet.
  for (const isReleased of [true, false]) {
    it(`is asked before a task starts that ${isReleased ? 'was released' : 'waited for a failed call'} before a time without commands`, async () => {
      await leader.addWorker('w2');
      leader.setDraining('w2', isReleased);
      workers.unreachable.add('w1');
      workers.endRun('w1', 'a.0.0.0');
      if (isReleased) await planBeyondLeases();
      else await sleep(300);
      leader.setLeaseHeld(false);
      await sleep(260);
      workers.unreachable.delete('w1');
      await sleep(900);
      leader.setDraining('w2', false);
      leader.setLeaseHeld(true);
      await expectSingleRun();
    });
  }
});
