import { Acceptance } from './Acceptance.js';
import { Dispatcher } from './Dispatcher.js';
import { FairShare } from './FairShare.js';
import { Fleet } from './Fleet.js';
import { RequestRestorer } from './RequestRestorer.js';
import { LeaseMajority } from './LeaseMajority.js';
import { LimitEnforcer } from './LimitEnforcer.js';
import { RelinquishedWork } from './RelinquishedWork.js';
import { OveruseEnforcer } from './OveruseEnforcer.js';
import { Quarantine } from './Quarantine.js';
import { Recovery } from './Recovery.js';
import { RequestLifecycle } from './RequestLifecycle.js';
import { RequestTable } from './RequestTable.js';
import { ShardDescription } from './ShardDescription.js';
import { TakeoverReceiver } from './TakeoverReceiver.js';
import { TaskStopper } from './TaskStopper.js';
import { TaskTracker } from './TaskTracker.js';
import { TeamLedger } from './TeamLedger.js';
import { UrgentPreemption } from './UrgentPreemption.js';
import { WaitingQueue } from './WaitingQueue.js';
import { WaitEstimator } from './WaitEstimator.js';
import { Admission } from './Admission.js';
import type { Policy } from './Policy.js';
import type { ShardContext } from './ShardContext.js';
import type { ShardComponents } from './ShardComponents.js';
import type { ShardSettings } from './ShardSettings.js';

/**
 * Creates the components of a shard and connects them.
 *
 * @param context - identity and services that the components share
 * @param address - link address of the owner, sent to peers
 * @param settings - current policy and keys
 * @returns the components
 */
export const createShardComponents = (
  context: ShardContext,
  address: string,
  settings: ShardSettings,
): ShardComponents => {
  const { clock } = context;
  const readPolicy = (): Policy => settings.policy;
  const table = new RequestTable();
  const queue = new WaitingQueue();
  const ledger = new TeamLedger();
  const fairShare = new FairShare();
  const estimator = new WaitEstimator();
  const fleet = new Fleet(context);
  const recovery = new Recovery(context, fleet);
  const majority = new LeaseMajority(context, fleet);
  const admission = new Admission({ fleet, queue, recovery, estimator, clock });
  const lifecycleDependencies = { fleet, table, queue, recovery, readPolicy };
  const lifecycle = new RequestLifecycle(context, lifecycleDependencies);
  const quarantine = new Quarantine(context, fleet, readPolicy);
  const stopper = new TaskStopper(context, { fleet, table, lifecycle });
  const overuse = new OveruseEnforcer(context, fleet, lifecycle, stopper);
  const trackerDependencies = { fleet, table, ledger, lifecycle, quarantine, overuse };
  const tracker = new TaskTracker(context, trackerDependencies);
  const enforcer = new LimitEnforcer(context, { fleet, ledger, stopper, readPolicy });
  const preemptionDependencies = { fleet, queue, ledger, fairShare, stopper };
  const preemption = new UrgentPreemption(context, preemptionDependencies);
  const dispatcherDependencies = {
    fleet,
    queue,
    ledger,
    fairShare,
    recovery,
    preemption,
    estimator,
  };
  const dispatcher = new Dispatcher(context, dispatcherDependencies);
  const restorer = new RequestRestorer(context, { ...lifecycleDependencies, lifecycle, tracker });
  const readKeyRing = (): ShardSettings['keyRing'] => settings.keyRing;
  const acceptanceDependencies = { table, admission, lifecycle, restorer, readPolicy, readKeyRing };
  const acceptance = new Acceptance(context, acceptanceDependencies);
  const isCommitting = (requestId: string): boolean => acceptance.isCommitting(requestId);
  const relinquishedDependencies = { fleet, table, queue, recovery, lifecycle, isCommitting };
  const descriptionDependencies = { fleet, table, queue, ledger, recovery, readPolicy };
  return {
    fleet,
    table,
    queue,
    ledger,
    fairShare,
    recovery,
    majority,
    acceptance,
    lifecycle,
    tracker,
    stopper,
    enforcer,
    preemption,
    quarantine,
    overuse,
    dispatcher,
    restorer,
    description: new ShardDescription(context, address, descriptionDependencies),
    relinquished: new RelinquishedWork(context, relinquishedDependencies),
    takeoverReceiver: new TakeoverReceiver(context, { table, lifecycle, restorer }),
  };
};
