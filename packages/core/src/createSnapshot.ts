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
  if (report === undefined || clock === undefined || worker.isLapsed || !isSettled)
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
 * Describes a shard so that a peer can go on without asking the workers first. A worker with a start
 * whose outcome is not known yet is left out: the new owner has to wait for its report.
 *
 * @param context - what the parts of the shard share
 * @param table - requests of the shard
 * @param fleet - workers of the shard
 * @param allotments - what each team with a limit may run in the shard
 * @param isCommitting - whether the acceptance of a request still waits for its commit; such a request is
 * left out, because the journal decides about it
 * @param sent - identifiers of finished requests that the peer got before
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
