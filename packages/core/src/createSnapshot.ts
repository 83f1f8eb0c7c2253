import type { HeldRequest, Report, Resources, ShardSnapshot, TaskReport } from '@toucanline/schema';
import type { Fleet } from './Fleet.js';
import type { RequestRecord } from './RequestRecord.js';
import type { RequestTable } from './RequestTable.js';
import type { ShardContext } from './ShardContext.js';
import type { WorkerRecord } from './WorkerRecord.js';

const describeTasks = (worker: WorkerRecord, records: readonly RequestRecord[]): TaskReport[] =>
  records.flatMap((record) =>
    record.tasks
      .filter((task) => task.worker === worker.id)
      .filter((task) => task.isActive || task.state === 'succeeded')
      .map((task): TaskReport => {
        const output = record.readOutput(task.assignment.index);
        return {
          assignment: task.assignment,
          state: task.state,
          usage: task.usage,
          ...(task.state === 'succeeded' && output !== undefined ? { output } : {}),
        };
      }),
  );

const describeWorker = (
  worker: WorkerRecord,
  records: readonly RequestRecord[],
  now: number,
): Report | undefined => {
  const isSettled = worker.tasks.every(({ isConfirmed }) => isConfirmed);
  const { report, clock } = worker.contact;
  if (report === undefined || clock === undefined || worker.isLeaseExpired || !isSettled)
    return undefined;
  return {
    ...report,
    clockMs: clock.calculateLowerBoundMs(now),
    leaseUntil: worker.leaseUntil,
    full: true,
    tasks: describeTasks(worker, records),
    changes: [],
  };
};

const describeRequest = (
  record: RequestRecord,
  now: number,
  settled?: ReadonlySet<string>,
): HeldRequest => {
  const isSettled = record.activeTasks.every(({ worker }) => settled?.has(worker) === true);
  const isBounded = Number.isFinite(record.deadlineAt);
  return {
    request: record.request,
    attempt: record.attempt,
    retries: record.retries,
    uncertain: !isSettled || record.hasUncertainStart,
    ...(isBounded ? { remainingMs: record.deadlineAt - now } : {}),
    ...(record.stopPlan?.next === 'cancelled' ? { cancelled: true } : {}),
    ...(record.isFinished ? { view: record.describeActual() } : {}),
  };
};

/**
 * Creates a snapshot of a shard, with which a peer can continue without waiting for reports of the workers. Workers
 * with a start whose outcome is not known yet are left out; the new owner has to wait for their reports.
 *
 * @param context - identity and services that the components of the shard share
 * @param table - requests of the shard
 * @param fleet - workers of the shard
 * @param allotments - allotment of each team that has a limit
 * @param isCommitting - checks whether the acceptance of a request is not committed yet; such requests are left
 * out, because the journal determines whether they were accepted
 * @param sent - identifiers of finished requests that were sent to the peer before
 * @returns the snapshot
 */
export const createSnapshot = (
  context: ShardContext,
  table: RequestTable,
  fleet: Fleet,
  allotments: ReadonlyMap<string, Resources>,
  isCommitting: (record: RequestRecord) => boolean,
  sent: ReadonlySet<string>,
): ShardSnapshot => {
  const now = context.clock.now();
  const records = [...table.list()].filter(
    (record) => !sent.has(record.id) && !isCommitting(record),
  );
  const open = records.filter(({ isFinished }) => !isFinished);
  const reports = fleet.workers.flatMap((worker) => describeWorker(worker, open, now) ?? []);
  const settled = new Set(reports.map(({ worker }) => worker));
  const requests = records.map((record) => describeRequest(record, now, settled));
  const { shard, epoch, owner } = context;
  return {
    shard,
    epoch,
    owner,
    drained: fleet.drained,
    allotments: Object.fromEntries(allotments),
    requests,
    reports,
  };
};
